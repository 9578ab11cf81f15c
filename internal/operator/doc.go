// Package operator holds the operators' client and the commands that use it:
// config, status and timeline.
package operator
