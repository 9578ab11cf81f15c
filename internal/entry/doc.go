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
package entry
