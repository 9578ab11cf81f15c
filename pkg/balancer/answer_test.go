package balancer

import (
	"net/netip"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// answerView returns a view with one target and the given members.
func answerView(t *testing.T, epoch fleet.Epoch, members ...fleet.VM) *fleet.View {
	t.Helper()
	kind := fleet.Kind{Name: "Sheet", Weight: 1, Deadline: time.Minute, IdleTimeout: 10 * time.Second}
	v := &fleet.View{
		Zone: "Monza", Epoch: epoch, Sealed: true, Members: members,
		Zones: []fleet.Zone{{ID: "Monza", Weight: 1, State: fleet.ZoneIn, Reachable: true, Members: members, Services: []fleet.ServiceID{"T/Sheets", "T/Other"}}},
		Listeners: []fleet.Listener{
			{Address: netip.MustParseAddrPort("198.18.0.1:443"), Protocol: fleet.UDP, Service: "T/Sheets", Answers: fleet.Through, Kind: kind},
			{Address: netip.MustParseAddrPort("198.18.0.2:443"), Protocol: fleet.UDP, Service: "T/Other", Answers: fleet.Through, Kind: kind},
		},
		Targets: []fleet.Target{{ID: answerTarget, Zone: "Monza", Slots: 3, ConnectionLimit: 9, State: fleet.TargetReady}},
	}
	if err := v.Freeze(); err != nil {
		t.Fatal(err)
	}
	return v
}

var answerTarget = fleet.TargetID{Service: "T/Sheets", Address: netip.MustParseAddrPort("192.0.2.1:1"), Incarnation: 1}

// Guards against a download that stops forever when the owner of its target
// crashes: the caller sends nothing until data arrives, so the new owner can
// learn of the flow only from an answer. Also guards against answers of unknown
// flows that are accepted without a crash, too long after a crash, at the end of
// the flow, or for another service.
func TestAnswerAfterCrash(t *testing.T) {
	start := time.Unix(1000, 0)
	vms := []fleet.VM{{ID: "a"}, {ID: "b"}}
	twoVMs := answerView(t, 1, vms...)
	b := New(Config{Self: "a"})
	b.SetView(twoVMs, start)
	lost, self := "b", "a"
	if b.placement.Owner(answerTarget.Key()) == "a" {
		lost, self = "a", "b"
	}
	for _, tt := range []struct {
		name  string
		crash bool
		after time.Duration
		vip   string
		end   End
		want  Op
	}{
		{"crash", true, 3 * time.Second, "198.18.0.1:443", NoEnd, Reply},
		{"after the window", true, 11 * time.Second, "198.18.0.1:443", NoEnd, Drop},
		{"another service", true, 3 * time.Second, "198.18.0.2:443", NoEnd, Drop},
		{"end of the flow", true, 3 * time.Second, "198.18.0.1:443", Done, Drop},
		{"no crash", false, 3 * time.Second, "198.18.0.1:443", NoEnd, Pass},
	} {
		b := New(Config{Self: fleet.VMID(self)})
		b.SetLease(start.Add(time.Minute))
		b.SetView(twoVMs, start)
		if tt.crash {
			b.SetView(answerView(t, 2, fleet.VM{ID: fleet.VMID(self)}), start)
		}
		b.Tick(start.Add(tt.after), nil)
		flow := fleet.FlowKey{Caller: netip.MustParseAddrPort("198.19.0.1:1"), VIP: netip.MustParseAddrPort(tt.vip), Protocol: fleet.UDP}
		out := b.Handle(Packet{Flow: flow, Source: FromTarget, End: tt.end, Target: answerTarget, Payload: []byte("data")}, start.Add(tt.after), nil)
		if len(out) != 1 || out[0].Op != tt.want {
			t.Errorf("%s (%s lost): got %+v, want operation %d", tt.name, lost, out, tt.want)
		}
	}
}
