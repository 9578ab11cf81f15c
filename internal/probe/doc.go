// Package probe checks the health of targets. The first three VMs in a target's
// rendezvous order probe the target and report to its owner. The owner's
// Evaluator evaluates the reports together with the owner's own observations.
//
// Probe results can be late or misleading, so two rules limit their effect. The
// owner's own observation that start packets get no answer takes precedence
// over the reports. If the probers of a target probe more than one target on
// average and see most of their targets fail at once, the fault is more likely in
// the probers, so their reports alone don't make the target unhealthy.
package probe
