// Package control implements the control daemon, which runs one replica of the
// settings and serves the operators' HTTP interface.
package control
