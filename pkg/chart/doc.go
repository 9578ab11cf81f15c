// Package chart loads state charts from embedded TOML files and looks up their
// transitions. An event for which a state has no transition results in a
// TransitionError.
package chart
