// Package explain reconstructs the history of one flow from the logs of all
// processes. The history contains the lines that name the flow. It also
// contains lines from shortly before, during and shortly after the flow: those
// about the targets of the flow, and those without a target that the processes
// of the flow wrote, for example about their catalog and hub. All lines are in
// chronological order.
package explain
