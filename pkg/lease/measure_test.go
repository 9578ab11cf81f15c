package lease_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/lease"
	"bamboowalk.org/bamboowalk/pkg/membership"
)

// headerSize is the size of the IPv4 and UDP headers of a datagram, in bytes.
const headerSize = 28

// TestMeasure prints the bytes and CPU time per VM of membership and lease
// together, the times until a crashed VM is removed from all views, and the
// times until the view without the VM is sealed at all VMs. Run it with
// BAMBOOWALK_MEASURE=1. It checks no limits.
func TestMeasure(t *testing.T) {
	if os.Getenv("BAMBOOWALK_MEASURE") == "" {
		t.Skip("set BAMBOOWALK_MEASURE=1 to measure")
	}
	for _, scale := range []bool{false, true} {
		for _, n := range []int{7, 30, 60, 180} {
			t.Run(fmt.Sprintf("scale=%v/n=%d", scale, n), func(t *testing.T) { measure(t, n, scale) })
		}
	}
}

func measure(t *testing.T, n int, scale bool) {
	z := newZone(t, 3, n)
	z.net.OnStep = nil
	z.configureMembership = func(c *membership.Config) { c.HoldMax = time.Millisecond } // almost no hold-down, as the test crashes VMs often
	if scale {
		z.configureLease = func(c *lease.Config) { c.LeaseTime, c.RenewInterval = 5*time.Second, time.Second }
		z.configureMembership = func(c *membership.Config) { c.HoldMax, c.DigestInterval = time.Millisecond, 5*time.Second }
	}
	z.startAll()
	z.mustConverge(60*time.Second, "start")
	z.net.Run(20 * time.Second)
	z.traffic(n, scale, "idle", 20*time.Second, nil)
	i := 0
	z.traffic(n, scale, "churn", 30*time.Second, func() { // one new target per second, one planned restart per 5 s
		tg := target(i)
		_ = z.vms[z.ids[i%7]].lease.SetTarget(tg)
		if i%5 == 0 {
			id := z.ids[n-1]
			z.vms[id].members.Leave(z.net.Clock(id))
		}
		if i%5 == 2 {
			z.start(z.ids[n-1])
		}
		i++
	})
	z.net.Run(10 * time.Second)
	z.mustConverge(60*time.Second, "after churn")
	var removalTimes, sealTimes []float64
	for k := range 12 {
		z.net.Run(time.Duration(z.rng.Int64N(int64(time.Second))))
		// Even rounds crash a council member, the first of them the proposer.
		// Odd rounds crash a VM outside the council, except in the zone of 7
		// VMs, which are all in the council.
		victim := z.ids[(n-1-k%(n-3))*(k%2)]
		if k%2 == 0 {
			victim = z.ids[k/2]
		}
		z.net.Stop(victim)
		at := z.net.Now()
		z.net.RunUntil(20*time.Second, func() bool {
			for _, id := range z.ids {
				if _, in := z.vms[id].lease.View().Member(victim); in && z.net.Running(id) {
					return false
				}
			}
			return true
		})
		removalTimes = append(removalTimes, z.net.Now().Sub(at).Seconds())
		z.net.RunUntil(20*time.Second, z.converged)
		sealTimes = append(sealTimes, z.net.Now().Sub(at).Seconds())
		z.start(victim)
		z.mustConverge(60*time.Second, "restart")
		z.net.RunUntil(20*time.Second, z.vms[z.ids[k/2]].lease.Voting)
	}
	slices.Sort(removalTimes)
	slices.Sort(sealTimes)
	t.Logf("n %3d scale %-5v crash: removed from all views after median %.2f s, max %.2f s; view sealed at all VMs after median %.2f s, max %.2f s",
		n, scale, removalTimes[6], removalTimes[11], sealTimes[6], sealTimes[11])
}

// traffic prints the bytes and CPU time per VM during an interval. It calls
// everySecond, if not nil, at the start of each second of simulated time.
func (z *zone) traffic(n int, scale bool, phase string, d time.Duration, everySecond func()) {
	z.net.ResetTraffic()
	began := time.Now()
	for range int(d / time.Second) {
		if everySecond != nil {
			everySecond()
		}
		z.net.Run(time.Second)
	}
	cpu := time.Since(began).Seconds() / d.Seconds() / float64(n) * 100
	var sent, total [2][]float64
	for _, id := range z.ids {
		k := 1
		if slices.Contains(z.council.Members, fleet.VMID(id)) {
			k = 0
		}
		tr := z.net.Traffic(id)
		s := float64(tr.SentBytes+headerSize*tr.SentDatagrams) / d.Seconds() / 1000
		r := float64(tr.ReceivedBytes+headerSize*tr.ReceivedDatagrams) / d.Seconds() / 1000
		sent[k], total[k] = append(sent[k], s), append(total[k], s+r)
	}
	highest := func(list []float64) float64 {
		if len(list) == 0 {
			return 0
		}
		return slices.Max(list)
	}
	z.t.Logf("n %3d scale %-5v %-5s: council sent %.1f sent+received %.1f KB/s, others sent %.1f sent+received %.1f KB/s (highest VM), cpu %.2f %% of a core per VM including the fake network",
		n, scale, phase, highest(sent[0]), highest(total[0]), highest(sent[1]), highest(total[1]), cpu)
}

// BenchmarkRequest measures one lease renewal at a council member, including
// decoding and encoding.
func BenchmarkRequest(b *testing.B) {
	z := newZone(b, 1, 9)
	z.startAll()
	z.mustConverge(10*time.Second, "start")
	v, now := z.vms[z.ids[0]], z.net.Clock(z.ids[0])
	req := lease.Message{Kind: lease.Request, Revision: 1, Seq: 70000, Epoch: v.lease.View().Epoch, Incarnation: 9}
	data, err := req.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		m, err := lease.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		for _, e := range v.lease.Handle(z.ids[8], m, now) {
			if _, err := e.Message.Encode(); err != nil {
				b.Fatal(err)
			}
		}
	}
}
