// Package logging writes the structured logs of the daemons: one JSON line for
// each decision about a request, and one for each change of a target, catalog
// or hub that a process learns of.
//
// Writing never blocks: lines go through a bounded buffer; lines that do not
// fit are dropped and counted. A Limiter limits the rate of lines of each
// cause; the next line of a cause states how many lines were suppressed.
//
// The names of log fields are constants of this package, so that all processes
// use the same names and the explain command finds the fields.
package logging
