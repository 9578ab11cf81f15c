// Package logging writes the structured logs of the daemons: one JSON line for
// each decision about a request and for each change of what a process believes.
//
// Writing never blocks: lines go through a bounded buffer, and those that do
// not fit are counted. Lines about ordinary decisions are limited in number by
// their cause; the next line of the same cause says how many were left out.
//
// Field names are constants of this package, so that all processes use the same
// ones and command explain finds them.
package logging
