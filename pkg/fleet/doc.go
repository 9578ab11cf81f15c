// Package fleet defines the identifiers, units and domain types that all other
// packages share: zones, VMs, services, listeners, kinds of work, targets,
// flows, and the immutable View of one zone.
package fleet
