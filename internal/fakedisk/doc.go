// Package fakedisk provides directories for tests on a disk that can be full.
package fakedisk
