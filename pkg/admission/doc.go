// Package admission decides which requests a target runs, which are queued and
// which are refused. The owner of a target has a Limiter for it, which manages
// the slots, the in-flight limit and a short queue for each kind of work.
// RetryBudget and Backoff bound retries. Edge refuses requests at other entry VMs
// while owners signal that they refuse most requests of a kind. Guard bounds what
// SYN floods and malformed packets cost an entry VM, and Pool divides a resource
// of an entry VM, such as packet memory, between teams.
//
// All types are deterministic: they read no clock, start no goroutine and take
// no lock. Each value is used by one goroutine only.
//
// # Shares
//
// A target has only 2 or 3 slots, so a share can't be a whole number of slots.
// Instead, each kind earns credit, measured in slot time, at the rate of Share
// times the limit. A request that starts while its kind has credit is charged
// the slot time that it uses. Kinds with credit start before kinds without
// credit, and within both groups the more urgent kind starts first. Slot time
// that no kind with credit needs goes to the other kinds and is not charged, so
// that a kind which uses it keeps its guaranteed share.
//
// Running requests are not preempted. A kind whose requests take longer than a
// quarter of the deadline of a more urgent kind with a share must therefore
// leave at least one slot to shorter requests, even if that slot stays idle. If
// the limit is one slot, the kind may use it, since it could not run otherwise.
//
// Kinds of equal urgency that all have credit, or all have none, share slot
// time in proportion to their weights.
//
// # Order within a kind
//
// The request with the earliest effective deadline starts first. The effective
// deadline is the deadline plus one mean service time for each start that the
// caller is ahead of the others, up to an eighth of the kind's deadline. Callers
// are distinguished by a hash of their address (for IPv6, of the /64 prefix).
// When the queue of a kind is full, a new request replaces the newest request
// of the caller with the most queued requests and recent starts, if that caller
// has clearly more than the caller of the new request. A request is never
// evicted for a request of another kind.
package admission
