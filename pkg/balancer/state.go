package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/chart"
)

var (
	flowChart = chart.MustLoad(chart.Flow)

	stateQueued   = flowChart.MustState("Queued")
	stateRunning  = flowChart.MustState("Running")
	stateEnding   = flowChart.MustState("Ending")
	stateEnded    = flowChart.MustState("Ended")
	stateRefused  = flowChart.MustState("Refused")
	stateReturned = flowChart.MustState("Returned")
	stateAway     = flowChart.MustState("Away")
	stateMoved    = flowChart.MustState("Moved")
	stateUnknown  = flowChart.MustState("Unknown")
	stateGone     = flowChart.MustState("Gone")

	eventForward = flowChart.MustEvent("Forward")
	eventQueue   = flowChart.MustEvent("Queue")
	eventRefuse  = flowChart.MustEvent("Refuse")
	eventAdopt   = flowChart.MustEvent("Adopt")
	eventLose    = flowChart.MustEvent("Lose")
	eventEnd     = flowChart.MustEvent("End")
	eventFinish  = flowChart.MustEvent("Finish")
	eventShed    = flowChart.MustEvent("Shed")
	eventCancel  = flowChart.MustEvent("Cancel")
	eventClose   = flowChart.MustEvent("Close")
	eventOffer   = flowChart.MustEvent("Offer")
	eventReturn  = flowChart.MustEvent("Return")
	eventTake    = flowChart.MustEvent("Take")
	eventMove    = flowChart.MustEvent("Move")
)

// tick converts a time to milliseconds modulo 2^32, which wraps after about
// 49 days.
func tick(t time.Time) uint32 { return uint32(t.UnixMilli()) }

// ticks converts a duration to milliseconds, at most 2^30.
func ticks(d time.Duration) uint32 { return uint32(min(d.Milliseconds(), 1<<30)) }

// passed reports whether limit is at or before now. Both are values of tick
// less than 2^31 ms apart.
func passed(now, limit uint32) bool { return int32(now-limit) >= 0 }
