package admission

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sketchRows and sketchColumns give a sketch of 16 KB.
	sketchRows    = 4
	sketchColumns = 1024
	// callerDecay is the time constant with which the requests of a caller are
	// forgotten.
	callerDecay = 2 * time.Second
	// maxSketchExponent bounds the weight of new requests, to keep the cells in the
	// range of float32.
	maxSketchExponent = 40
	// callerSetBits is the number of bits of a callerSet. It counts up to about
	// 20,000 callers.
	callerSetBits = 4096
)

type (
	// callerSketch counts the recent requests of callers in bounded memory: a
	// count-min sketch with conservative updates and exponential decay. An estimate
	// is never too low, and too high only if the caller shares a cell of each row
	// with others. Instead of reducing all cells, it gives newer requests a
	// higher weight.
	callerSketch struct {
		cells [sketchRows][sketchColumns]float32
		epoch time.Time
	}

	// callerSet estimates the number of distinct callers in the present and the
	// last interval of callerDecay, by linear counting.
	callerSet struct {
		current, last [callerSetBits / 64]uint64
		currentBits   int
		lastBits      int
		since         time.Time
	}

	// decayingCount is a number of events, which decays exponentially.
	decayingCount struct {
		value float64
		at    time.Time
	}
)

// callerHash hashes the address of a caller and the urgency of its request.
func callerHash(addr netip.Addr, urgency uint8) uint64 {
	h := addrHash(addr) + uint64(urgency)
	var buf [8]byte
	for i := range buf {
		buf[i] = byte(h >> (8 * i))
	}
	return xxhash.Sum64(buf[:])
}

// add counts a request and returns the number of recent requests of the caller,
// with this one.
func (s *callerSketch) add(hash uint64, now time.Time) float64 {
	exponent := now.Sub(s.epoch).Seconds() / callerDecay.Seconds()
	if exponent > maxSketchExponent {
		s.rebase(exponent)
		s.epoch, exponent = now, 0
	}
	weight := float32(math.Exp(exponent))
	lowest := float32(math.Inf(1))
	for row := range s.cells {
		lowest = min(lowest, s.cells[row][column(hash, row)])
	}
	lowest += weight
	for row := range s.cells {
		cell := &s.cells[row][column(hash, row)]
		*cell = max(*cell, lowest)
	}
	return float64(lowest / weight)
}

// rebase expresses the cells in weights of a later epoch.
func (s *callerSketch) rebase(exponent float64) {
	factor := float32(math.Exp(-exponent))
	for row := range s.cells {
		for i := range s.cells[row] {
			s.cells[row][i] *= factor
		}
	}
}

func column(hash uint64, row int) int {
	return int(hash>>(16*row)) & (sketchColumns - 1)
}

// add adds a caller.
func (s *callerSet) add(hash uint64, now time.Time) {
	if elapsed := now.Sub(s.since); elapsed >= callerDecay {
		s.last, s.lastBits = s.current, s.currentBits
		if elapsed >= 2*callerDecay {
			s.last, s.lastBits = [callerSetBits / 64]uint64{}, 0
		}
		s.current, s.currentBits, s.since = [callerSetBits / 64]uint64{}, 0, now
	}
	word, bit := hash%callerSetBits/64, uint64(1)<<(hash%64)
	if s.current[word]&bit == 0 {
		s.current[word] |= bit
		s.currentBits++
	}
}

// count returns the estimated number of callers.
func (s *callerSet) count() float64 {
	n := max(s.currentBits, s.lastBits)
	if n == 0 {
		return 1
	}
	free := max(1, callerSetBits-n)
	return max(1, callerSetBits*math.Log(callerSetBits/float64(free)))
}

func (c *decayingCount) add(n float64, tau time.Duration, now time.Time) {
	c.value = c.get(tau, now) + n
	c.at = now
}

func (c *decayingCount) get(tau time.Duration, now time.Time) float64 {
	return c.value * math.Exp(-now.Sub(c.at).Seconds()/tau.Seconds())
}

// rate returns the number of events per second.
func (c *decayingCount) rate(tau time.Duration, now time.Time) float64 {
	return c.get(tau, now) / tau.Seconds()
}
