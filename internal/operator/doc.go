// Package operator implements the operators' client of the control replicas and
// the commands config, status and timeline.
package operator
