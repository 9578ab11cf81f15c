package load

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
)

type (
	// log1pScale scales an axis by log(1+x), which is defined at 0.
	log1pScale struct{}

	// log1pTicks marks 0 and the powers of 10.
	log1pTicks struct{}
)

var (
	_ plot.Normalizer = log1pScale{}
	_ plot.Ticker     = log1pTicks{}
)

// Normalize maps x to its relative position between low and high.
func (log1pScale) Normalize(low, high, x float64) float64 {
	return (math.Log1p(x) - math.Log1p(low)) / (math.Log1p(high) - math.Log1p(low))
}

// Ticks returns the tick marks up to high.
func (log1pTicks) Ticks(low, high float64) []plot.Tick {
	ticks := []plot.Tick{{Value: 0, Label: "0"}}
	for x := 1.0; x <= high; x *= 10 {
		ticks = append(ticks, plot.Tick{Value: x, Label: fmt.Sprintf("%.0f", x)})
	}
	return ticks
}
