package balancer

import (
	"fmt"
	"testing"
	"time"
)

// startLoad starts one request every interval until d has passed. Of these, two
// fifths are orders, two fifths are lookups and one fifth are downloads.
func (s *sim) startLoad(d, interval time.Duration, ports int) {
	end := s.now.Add(d)
	n := 0
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		n++
		port := s.rng.IntN(ports)
		switch n % 5 {
		case 0:
			s.startRequest(&sheets, n%50000, 3*time.Second+s.randomDelay(5*time.Second))
		case 1, 2:
			s.startRequest(&orders, port, 0)
		default:
			s.startRequest(&lookups, port, 0)
		}
		s.after(interval, next)
	}
	s.after(0, next)
}

// scenarios are faults and planned changes that happen under load. In each of
// them, planned is set if the scenario has no unplanned fault.
var scenarios = map[string]struct {
	planned bool
	do      func(s *sim)
}{
	"quiet": {true, func(s *sim) {}},
	"planned leave": {true, func(s *sim) {
		s.after(2*time.Second, func() { s.leave("vm0-02") })
	}},
	"join": {true, func(s *sim) {
		s.after(2*time.Second, func() { s.join(s.zones[0], "vm0-97") })
	}},
	"drain": {true, func(s *sim) {
		s.after(2*time.Second, func() { s.drain(s.zones[0], 1) })
		s.after(4*time.Second, func() { s.drain(s.zones[0], 0) })
	}},
	"crash": {false, func(s *sim) {
		s.after(2*time.Second, func() { s.crash("vm0-01") })
	}},
	"two crashes": {false, func(s *sim) {
		s.after(2*time.Second, func() { s.crash("vm0-01") })
		s.after(2500*time.Millisecond, func() { s.crash("vm0-02") })
	}},
	"freeze": {false, func(s *sim) {
		s.after(2*time.Second, func() { s.freeze("vm0-03", 3*time.Second) })
	}},
	"target crash": {false, func(s *sim) {
		s.after(2*time.Second, func() { s.crashTarget(s.zones[0], 2) })
	}},
	"target restart in place": {false, func(s *sim) {
		s.after(2*time.Second, func() {
			id := s.crashTarget(s.zones[0], 2)
			s.after(time.Second, func() {
				s.addTarget(s.zones[0], id.Service, id.Address.String(), id.Incarnation+1)
				s.newEpoch(s.zones[0], s.zones[0].members)
			})
		})
	}},
	"address reuse": {false, func(s *sim) {
		s.after(2*time.Second, func() {
			id := s.crashTarget(s.zones[0], 2)
			s.after(1500*time.Millisecond, func() {
				s.addTarget(s.zones[0], "Lutto/Sheets", id.Address.String(), id.Incarnation+1)
				s.newEpoch(s.zones[0], s.zones[0].members)
			})
		})
	}},
	"crash during drain": {false, func(s *sim) {
		s.after(2*time.Second, func() { s.drain(s.zones[0], 1) })
		s.after(2*time.Second, func() { s.crash("vm0-01") })
	}},
	"join after crash": {false, func(s *sim) {
		s.after(2*time.Second, func() { s.crash("vm0-01") })
		s.after(3200*time.Millisecond, func() { s.join(s.zones[0], "vm0-98") })
	}},
}

// Guards against violations of the guarantees under each kind of fault and
// planned change in scenarios.
func TestScenarios(t *testing.T) {
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				s := newSim(seed, simConfig{vms: 6, targets: 6, loss: 0.002, duplication: 0.01, viewDelay: 150 * time.Millisecond})
				s.startLoad(6*time.Second, 6*time.Millisecond, 100000)
				scenario.do(s)
				s.run(16 * time.Second)
				reportViolations(t, s, scenario.planned)
				if testing.Verbose() {
					t.Log(seed, s.summary())
				}
			}
		})
	}
}

func (s *sim) summary() string {
	return fmt.Sprintf("orders %d done %d failed %d refused %d; lookups %d done %d; sheets %d done %d broken %d", s.count("Start", "Order"), s.count("Done", "Order"), s.count("Failed", "Order"), s.count("Refused", "Order"),
		s.count("Start", "Lookup"), s.count("Done", "Lookup"), s.count("Start", "Sheet"), s.count("Done", "Sheet"), s.count("Broken", "Sheet"))
}

// Guards against a rolling restart of all 20 VMs that breaks requests.
func TestRollingRestart(t *testing.T) {
	s := newSim(1, simConfig{vms: 20, targets: 15, viewDelay: 150 * time.Millisecond})
	s.startLoad(50*time.Second, 8*time.Millisecond, 100000)
	for i, id := range s.zones[0].members {
		s.after(time.Duration(i)*2*time.Second+time.Second, func() { s.leave(id) })
		s.after(time.Duration(i)*2*time.Second+2*time.Second, func() { s.join(s.zones[0], id+"-new") })
	}
	s.run(62 * time.Second)
	reportViolations(t, s, true)
	t.Log(s.summary())
}
