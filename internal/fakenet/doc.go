// Package fakenet is a deterministic network in fake time for tests of
// protocol components: datagrams with delay, loss, duplication, reordering and
// one-way cuts, and hosts that freeze, stop, restart and run on clocks with a
// rate error. One seed gives one run.
package fakenet
