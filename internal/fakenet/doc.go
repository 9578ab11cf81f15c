// Package fakenet is a deterministic network simulator with a virtual clock,
// for tests of protocol components. Datagrams can be delayed, lost, duplicated,
// reordered and blocked in one direction. Hosts can freeze, stop and restart,
// and have clocks with an offset and a rate error. If the nodes are
// deterministic, the same seed of Network.Rand reproduces the same run.
package fakenet
