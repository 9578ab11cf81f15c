// Package load implements "bamboowalk load", a load simulator. It drives the
// decision core of entry VMs (pkg/balancer with pkg/admission, or a small model
// of each strategy) with open-loop arrivals. Callers, fabric and targets are
// simulated in virtual time, so that a run with a given seed always gives the
// same result.
//
// A workload file describes the deployment, the kinds of work, the phases of
// their load and the faults. Run returns a Result, which can be written as JSON
// and as an HTML page; Compare lists the differences between two results.
//
// # Assumptions of the simulation
//
// A start packet carries the whole request. Service times are exponential and
// drawn when a request is created, so that all strategies see the same work. A
// target serves requests in order of arrival, skips queued requests whose
// deadline has passed, and stops requests that are cancelled. A caller resets a
// flow at the deadline of the request. If the kind sets Retransmit, the caller
// retransmits an unanswered start packet in the same flow. The caller retries a
// refused request with a new flow, within a retry budget, if the kind is
// idempotent or the request was not run.
package load
