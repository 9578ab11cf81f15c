// Package admission decides which requests a target runs, which are queued and
// which are refused. Each target is owned by one entry VM, which has a Limiter
// for the target. The Limiter manages the slots and the in-flight limit of the
// target, and one short queue for each kind of work. A slot is the capacity of
// a target to run one request. RetryBudget and Backoff bound retries. Edge
// refuses requests at other entry VMs while owners signal that they refuse most
// requests of a kind. Guard bounds the work that SYN floods and malformed
// packets cause at an entry VM. Pool divides a resource of an entry VM, such as
// packet memory, between teams.
//
// A Gate bounds the requests in flight of a service at one entry VM of many that
// share the targets. The VM owns no target and sees no answers, so that the Gate
// bounds the VM's part of all requests, not the slots of a target.
//
// All types are deterministic: they read no clock, start no goroutine and take
// no lock. A value must not be used by several goroutines at once.
//
// # Shares
//
// A target has only 2 or 3 slots, so a share can't be a whole number of slots.
// Instead, each kind earns credit at the rate of its share times the in-flight
// limit. Credit is measured in slot time, the time for which requests occupy
// slots. If a request starts while its kind has credit, the slot time of the
// request is deducted from the credit. Kinds with credit start before kinds
// without credit, and within both groups the more urgent kind starts first. Slot
// time that no kind with credit needs goes to the other kinds. This slot time is
// not deducted from the credit of these kinds, so that they keep their
// guaranteed shares.
//
// Running requests are not preempted. A kind whose requests take longer than a
// quarter of the deadline of a more urgent kind with a share must therefore
// leave at least one slot to shorter requests, even if that slot stays idle. If
// the in-flight limit is 1, the kind may use the only slot, since its requests
// could not run otherwise.
//
// Kinds of equal urgency that all have credit, or all have none, share slot
// time in proportion to their weights.
//
// # Order within a kind
//
// The request with the earliest effective deadline starts first. The effective
// deadline is the deadline plus one mean service time for each start that the
// caller is ahead of the others. The added time is at most an eighth of the
// kind's deadline. Callers are distinguished by a hash of their address (for
// IPv6, of the /64 prefix), so callers with the same hash count as one. When
// the queue of a kind is full, a new request replaces the newest request of the
// caller with the most queued requests and recent starts, if that caller has
// clearly more of them than the caller of the new request. A request is never
// evicted for a request of another kind.
package admission
