// Package entry is the daemon of an entry VM. It wires the packet adapter
// (internal/geneve), the decision core (pkg/balancer), the announcements
// (internal/announce), metrics and health.
//
// Goroutines: one reads and decodes datagrams, one per shard runs a core and
// sends datagrams, and one owns control state (the view and the announcement
// registry). Traffic goroutines read immutable snapshots.
//
// Flows are divided between shards by their hash. Each shard has its own
// admission control, so that with more than one shard the slots of a target
// are counted per shard; the default is one shard.
//
// The design page leaves open how a target finds its new owner while a flow's
// caller is silent. The grant of an announcement names the owner's data
// address, and a target sends the responses of a flow there that has heard
// nothing for a second.
//
// A planned stop ends when no packet arrived for QuietTime and the other VMs
// have acknowledged all records of the core, or after DrainTime.
package entry
