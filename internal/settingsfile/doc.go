// Package settingsfile reads the TOML settings files of the daemons and reports
// all faults of a file, each with the file and the key.
package settingsfile
