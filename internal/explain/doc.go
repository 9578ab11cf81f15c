// Package explain tells the story of one flow from the logs of all processes:
// the lines that name the flow, and what the processes involved believed about
// its target, its catalog and its hub around that time, in the order of time.
package explain
