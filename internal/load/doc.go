// Package load implements "bamboowalk load", a load simulator. It drives the
// decision core of entry VMs (pkg/balancer with pkg/admission, or a small model
// of each strategy) with open-loop arrivals: callers send new requests without
// waiting for answers. Callers, fabric and targets are simulated in virtual
// time, so that a run of a workload with a given seed always gives the same
// result.
//
// A workload file describes the deployment, the kinds of work, the phases of
// their load and the faults. Run returns a Result, which can be written as JSON
// and as an HTML page; Compare lists the differences between two results.
//
// # Terms
//
// A kind is a class of requests to a service, with an urgency, a deadline and a
// share of the service's capacity. The fabric is the network that sends each
// packet of a caller to a random entry VM. A slot of a target serves one
// request at a time. A view is the state of the fleet as a VM knows it. An
// epoch numbers the successive member lists of a zone; it is sealed once no VM
// decides in an earlier epoch. The candidates of a flow are the two targets
// with the highest hash scores. To pass a packet is to send the packet to
// another entry VM.
//
// # Assumptions of the simulation
//
// A start packet carries the whole request. Service times are exponentially
// distributed. They are drawn when a request is created, so that all strategies
// see the same work. A target serves requests in order of arrival, skips queued
// requests whose deadline has passed, and stops requests that are cancelled. A
// caller resets an open flow at the deadline of the request. If the kind sets
// Retransmit, the caller retransmits an unanswered start packet in the same
// flow. The caller retries a refused request with a new flow if the kind is
// idempotent or the refusal says that the request was not run. The deadline and
// a retry budget limit the retries.
package load
