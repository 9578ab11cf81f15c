// Package admission decides which requests a target runs, which wait and which
// are refused. A Limiter holds the slots, the in-flight limit and the short
// queue of one target at its owner. RetryBudget and Backoff bound retries,
// Edge refuses the least urgent work at entry VMs that hear of an overloaded
// owner, Guard bounds what SYN floods and garbage cost an entry VM, and Pool
// divides the packet memory of an entry VM between teams.
//
// All types are deterministic: they read no clock, start no goroutine and take
// no lock. Each value is used by one goroutine only.
//
// # Shares
//
// A target has 2 or 3 slots, so a share can't be a number of slots. Each kind
// earns slot time at Share times the limit, and a request that starts while
// its kind has credit is charged the slot time that it used. A kind with
// credit goes before a kind without; among kinds with credit, and among kinds
// without, the more urgent goes first. Slot time that nobody with credit wants
// is lent and is not charged, so that a kind that borrowed keeps its floor.
//
// A slot that runs a request can't be called back. A kind whose requests take
// longer than a quarter of the deadline of a more urgent kind with a share
// therefore never fills the last slots, even where those are idle; at a limit
// of one it may take the slot, since it would never run otherwise.
//
// Among kinds of equal urgency without credit, slot time goes by weight.
//
// # Order within a kind
//
// The earliest deadline goes first, put off by the service times that its
// caller is ahead of the others, up to an eighth of the deadline. Callers are
// hashed addresses (IPv6 by /64 prefix). When the queue of a kind is full, an
// arrival replaces the latest request of the caller that has most, counting
// recent starts, where that caller has clearly more than the arriving one. A
// request is never evicted by a request of another kind.
package admission
