// Package control is the control daemon: it runs one replica of the settings
// and serves the operators' HTTP interface.
package control
