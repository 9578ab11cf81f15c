// Package logging writes the structured logs of the daemons: one JSON line for
// each decision about a request and for each change in the state that a process
// knows of targets, catalogs and hubs.
//
// Writing never blocks: lines go through a bounded buffer; lines that do not
// fit are dropped and counted. A Limiter limits the rate of lines of each
// cause; the next line of a cause states how many were left out.
//
// The names of log fields are constants of this package, so that all processes
// use the same names and the explain command finds the fields.
package logging
