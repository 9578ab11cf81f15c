package load

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
)

type (
	// symlogScale is the scale of log(1+x), which has a place for 0.
	symlogScale struct{}

	// symlogTicks marks 0 and the powers of 10.
	symlogTicks struct{}
)

var (
	_ plot.Normalizer = symlogScale{}
	_ plot.Ticker     = symlogTicks{}
)

// Normalize maps x to its place between low and high.
func (symlogScale) Normalize(low, high, x float64) float64 {
	return (math.Log1p(x) - math.Log1p(low)) / (math.Log1p(high) - math.Log1p(low))
}

// Ticks returns the marks between low and high.
func (symlogTicks) Ticks(low, high float64) []plot.Tick {
	ticks := []plot.Tick{{Value: 0, Label: "0"}}
	for x := 1.0; x <= high; x *= 10 {
		ticks = append(ticks, plot.Tick{Value: x, Label: fmt.Sprintf("%.0f", x)})
	}
	return ticks
}
