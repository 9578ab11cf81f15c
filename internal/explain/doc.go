// Package explain reconstructs the history of one flow from the logs of all
// processes. The history contains the lines that name the flow. It also
// contains lines from shortly before, during and shortly after the flow: those
// about the targets of the flow, and those that name no target and come from a
// process that logged a line about the flow, for example lines about the catalog
// and hub of this process. All lines are in chronological order.
package explain
