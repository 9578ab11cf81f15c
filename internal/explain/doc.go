// Package explain reconstructs the history of one flow from the logs of all
// processes: the lines that name the flow, and the lines that were written
// around that time about its targets or by the same processes, for example
// about their catalog and hub, in chronological order.
package explain
