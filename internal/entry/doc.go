// Package entry implements the daemon of an entry VM. It connects the packet
// adapter (internal/geneve), the decision core (pkg/balancer), the announcement
// server (internal/announce), metrics and health checks.
//
// One goroutine reads and decodes datagrams, one goroutine per shard runs a
// core and sends datagrams, and the control goroutine owns the view and the
// announcement registry. The other goroutines read immutable views.
//
// Flows are assigned to shards by flow hash. Each shard has its own admission
// control, which would count the slots of a target once per shard, so the
// settings allow only one shard.
//
// A target can't learn its new owner from the packets of a flow while the
// caller sends nothing. The grant of an announcement therefore contains the
// owner's data address. A target that has received no packet of a flow for a
// second sends the responses of the flow to that address. docs/design.md does
// not specify how a target learns its new owner.
//
// A planned stop ends when no packet has arrived for QuietTime and the other
// VMs have acknowledged all flow records, or after DrainTime.
package entry
