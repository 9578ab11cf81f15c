// Package gateway is the entry daemon for platforms whose packets carry routing
// cookies. It moves packets between one UDP socket and the core of
// pkg/steering, follows the feed of a control VM, and checks targets that are
// in doubt.
//
// Three goroutines share the work: one reads packets and decides, one follows
// the feed and builds the views that the first one reads, and one checks the
// health of targets.
package gateway
