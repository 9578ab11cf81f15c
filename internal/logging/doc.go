// Package logging writes the structured logs of the daemons: one JSON line for
// each decision about a request, and one for each change of a target, catalog
// or hub that a process learns of.
//
// Writing never blocks, because lines go through a bounded queue. Lines that do
// not fit into the queue are dropped and counted.
//
// A Limiter limits the rate of lines for each cause, a short text that names
// the kind of line. The next line of a cause that is written states how many
// lines of this cause were suppressed before it.
//
// The names of log fields are constants of this package, so that all processes
// use the same names and the explain command finds the fields.
package logging
