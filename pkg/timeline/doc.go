// Package timeline records typed events of one process in a bounded buffer,
// assigns them timestamps of a hybrid logical clock, and merges the events of
// many processes into one sequence that respects causal order.
package timeline
