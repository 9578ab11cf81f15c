package steering

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// Ways to choose the target of a new flow.
const (
	choiceKept   = "16 preferred (kept)"
	choiceAll    = "all targets"
	choiceTwo    = "two at random"
	choiceSubset = "8 preferred, then 8 more"
)

const (
	choiceSlots     = 2
	choiceWork      = 40 * time.Millisecond
	choiceObjective = 300 * time.Millisecond
	// choiceLoad is the share of the slots in use before a burst.
	choiceLoad = 0.25
	choiceTime = 4 * time.Second
)

type (
	// choiceSim simulates the entry VMs and targets of one zone in virtual time.
	// Each request arrives at a random VM, which knows only its own requests.
	choiceSim struct {
		way     string
		rng     *rand.Rand
		cores   []*Core
		running [][]int
		prefer  [][]int
		targets []choiceTarget
		events  detectEvents
		now     time.Time
		late, n int
	}

	// choiceTarget serves choiceSlots requests at a time, in the order of arrival.
	choiceTarget struct {
		slow   bool
		busy   int
		queued []func()
	}
)

func newChoiceSim(way string, vms int, slowShare float64) *choiceSim {
	s := &choiceSim{way: way, rng: rand.New(rand.NewPCG(7, 7)), now: start}
	n := vms * 8 / 5
	s.targets = make([]choiceTarget, n)
	var records []registry.Record
	for i := range n {
		s.targets[i].slow = float64(i) < slowShare*float64(n)
		rec := target(fleet.Incarnation(i+1), "counter", "z0")
		rec.Target.Slots = choiceSlots
		rec.Target.ID.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080)
		records = append(records, rec)
	}
	for range vms {
		c := New("z0", rand.New(rand.NewPCG(1, 1)))
		c.SetView(NewView(testCatalog(), records, s.rng.Uint64(), start))
		s.cores = append(s.cores, c)
		s.running = append(s.running, make([]int, n))
		s.prefer = append(s.prefer, s.rng.Perm(n))
	}
	return s
}

// choose returns the index of the target for a request at a VM.
func (s *choiceSim) choose(vm int) int {
	least := func(list []int) int {
		return slices.MinFunc(list, func(a, b int) int { return s.running[vm][a] - s.running[vm][b] })
	}
	switch s.way {
	case choiceKept:
		c := s.cores[vm]
		t := c.choose(c.view.services["counter"], 0, s.now)
		return int(t.ID.Incarnation) - 1
	case choiceTwo:
		return least([]int{s.rng.IntN(len(s.targets)), s.rng.IntN(len(s.targets))})
	case choiceSubset:
		if i := least(s.prefer[vm][:8]); s.running[vm][i] < choiceSlots {
			return i
		}
		return least(s.prefer[vm][8:16])
	}
	return least(s.rng.Perm(len(s.targets)))
}

func (s *choiceSim) after(d time.Duration, action func()) {
	heap.Push(&s.events, detectEvent{s.now.Add(d), action})
}

func (s *choiceSim) request() {
	vm := s.rng.IntN(len(s.cores))
	i := s.choose(vm)
	l := s.cores[vm].targetLoadOf(Cookie(i + 1))
	arrived := s.now
	s.running[vm][i]++
	l.running++
	t := &s.targets[i]
	work := time.Duration(s.rng.ExpFloat64() * float64(choiceWork))
	if t.slow {
		work *= 6
	}
	serve := func() {
		t.busy++
		s.after(work, func() {
			t.busy--
			s.running[vm][i]--
			l.running--
			s.n++
			if s.now.Sub(arrived) > choiceObjective {
				s.late++
			}
			if len(t.queued) > 0 {
				next := t.queued[0]
				t.queued = t.queued[1:]
				next()
			}
		})
	}
	if t.busy == choiceSlots {
		t.queued = append(t.queued, serve)
		return
	}
	serve()
}

// run plays choiceTime, with a burst in its second half, and returns the share of
// late requests.
func (s *choiceSim) run(burst float64) float64 {
	rate := choiceLoad * float64(len(s.targets)*choiceSlots) / choiceWork.Seconds()
	var arrive func()
	arrive = func() {
		s.request()
		r := rate
		if s.now.Sub(start) > choiceTime/2 {
			r *= burst
		}
		s.after(time.Duration(s.rng.ExpFloat64()/r*float64(time.Second)), arrive)
	}
	arrive()
	for s.now.Sub(start) < choiceTime {
		e := heap.Pop(&s.events).(detectEvent)
		s.now = e.due
		e.action()
	}
	return float64(s.late) / float64(s.n)
}

// Guards against a choice that is cheap but serves more requests late than a
// comparison of all targets. The load is a burst of three times the usual
// requests, and one of twice as many with slow targets, before 20 and 100 entry
// VMs.
func TestChoiceInBursts(t *testing.T) {
	const tolerance = 0.005
	for _, vms := range []int{20, 100} {
		for _, load := range []struct{ burst, slow float64 }{{3, 0}, {2, 0.05}} {
			all := newChoiceSim(choiceAll, vms, load.slow).run(load.burst)
			got := newChoiceSim(choiceKept, vms, load.slow).run(load.burst)
			if got > all+tolerance {
				t.Errorf("%d VMs, burst %g, slow %g: got %.4f late, want at most %.4f and %g", vms, load.burst, load.slow, got, all, tolerance)
			}
		}
	}
}

// TestCompareChoices prints the late requests of all ways.
func TestCompareChoices(t *testing.T) {
	if os.Getenv("BAMBOOWALK_MEASURE") == "" {
		t.Skip("set BAMBOOWALK_MEASURE=1 to compare ways to choose a target")
	}
	for _, vms := range []int{20, 100, 300} {
		for _, load := range []struct{ burst, slow float64 }{{2, 0}, {3, 0}, {2, 0.05}} {
			for _, way := range []string{choiceAll, choiceKept, choiceTwo, choiceSubset} {
				late := newChoiceSim(way, vms, load.slow).run(load.burst)
				fmt.Printf("%d VMs, burst %g, slow targets %g: %-26s %.4f late\n", vms, load.burst, load.slow, way, late)
			}
		}
	}
}
