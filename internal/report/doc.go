// Package report makes one HTML page from the structured logs of all processes:
// what became of requests in each second, the events of VMs, hubs and targets on the
// same time axis, the catalogs in force, and the flows that waited longest with their
// history.
//
// Logs are read twice, as a stream: first for the counts of each second, then for the
// lines around the slowest flows. The memory that this needs grows with the length of
// the day and the number of VMs, not with the size of the logs.
package report
