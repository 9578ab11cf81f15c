// Package settingsfile reads the TOML settings files of the daemons. It reports
// the faults of a file together, each with the name of the file and the key. A
// fault is an unknown key, an invalid value or a file that can't be decoded.
package settingsfile
