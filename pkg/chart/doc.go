// Package chart interprets state charts that stand in embedded TOML files; a
// transition that a chart lacks is a TransitionError.
package chart
