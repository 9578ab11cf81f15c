package capacity

import "time"

// Room is the capacity and the load of one service, over all entry VMs.
type Room struct {
	// Slots is the number of slots of the targets that accept new flows, each
	// weighted by the speed of its target.
	Slots float64
	// InFlight is the number of requests in flight, and Offered the number of
	// requests per second that callers have asked for, including refused ones.
	InFlight, Offered float64
	// MeanTime is the mean time from a request to the beginning of its response,
	// measured while requests did not wait at the targets.
	MeanTime time.Duration
	// VMs is the number of entry VMs whose reports are included.
	VMs int
	// Age is the time since the oldest of the included reports.
	Age time.Duration
}
