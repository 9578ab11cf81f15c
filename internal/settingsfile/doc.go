// Package settingsfile reads the TOML settings files of the daemons: every
// fault is reported with its file and key.
package settingsfile
