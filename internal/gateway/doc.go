// Package gateway implements the daemon of an entry VM for platforms whose packets
// carry routing cookies. It passes packets between one UDP socket and the core of
// pkg/steering, subscribes to the feed of a control VM (a hub), and checks the
// health of suspected targets.
//
// One goroutine reads packets and forwards them as the core decides. A second
// goroutine reads the feed and builds the views for the core. One goroutine for
// each suspected target checks the target's health.
package gateway
