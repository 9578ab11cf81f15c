// Package timeline records typed events of one process in a bounded ring,
// stamps them with a hybrid logical clock, and merges the events of many
// processes into one causal order.
package timeline
