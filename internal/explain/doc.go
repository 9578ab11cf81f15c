// Package explain reconstructs the history of one flow from the logs of all
// processes. The history contains the lines that name the flow. It also
// contains lines of three kinds that name no flow and were written shortly
// before, during or shortly after the flow:
//
//   - lines about the targets of the flow,
//   - lines about all targets of a service, if a line about the flow names this
//     service but no target,
//   - lines that name no target and come from a process that logged a line about
//     the flow, for example lines about the catalog and hub of this process.
//
// All lines are in chronological order.
package explain
