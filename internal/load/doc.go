// Package load is the experiment tool behind "bamboowalk load". It drives the
// decision core of entry VMs (pkg/balancer with pkg/admission, or a small model
// of each strategy) with open-loop arrivals over small stand-ins for
// callers, fabric and targets, in virtual time, so that a run with a given
// seed always gives the same result.
//
// A workload file describes the deployment, the kinds of work, the phases of
// their load and the faults. Run returns a Result, which is written as JSON
// and as one HTML page; Compare puts two results side by side.
//
// # What the stand-ins assume
//
// A start packet carries the whole request. Service times are exponential and
// drawn when a request is created, so that all strategies see the same work. A
// target serves requests in order of arrival, does not start one whose
// deadline has passed, and stops one that is cancelled. A caller resets the
// flow at its deadline, retransmits an unanswered start with the same flow if
// its kind says so, and retries a refused request with a new flow under a
// retry budget where the kind is idempotent or the request was not run.
package load
