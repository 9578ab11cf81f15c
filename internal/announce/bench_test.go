package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// BenchmarkRenewal measures the time in which the HTTP handler handles one
// renewal at a VM that keeps the leases of n targets, and the total size of the
// request and response bodies.
func BenchmarkRenewal(b *testing.B) {
	for _, n := range []int{8, 80, 800} {
		b.Run(fmt.Sprintf("Targets=%d", n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			r := &Registry{
				Self: "a", Zone: "Monza", LeaseTime: time.Hour, Limit: n,
				Services: map[fleet.ServiceID]Credential{service: HashCredential("secret")},
				Owner:    func(*fleet.View, fleet.TargetKey) fleet.VMID { return "a" },
			}
			v := &fleet.View{Zone: "Monza"}
			if err := v.Freeze(); err != nil {
				b.Fatal(err)
			}
			r.SetView(v, now)
			s := &Server{
				Self:      "a",
				Control:   func(_ context.Context, f func(*Registry, time.Time)) error { f(r, now); return nil },
				Changed:   func(*Registry) {},
				Members:   func() []fleet.VM { return nil },
				Client:    http.DefaultClient,
				PerClient: 1e9, Burst: 1e9,
			}
			bodies := make([][]byte, n)
			for i := range bodies {
				a := announcement(Ready)
				a.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 6081)
				var err error
				if bodies[i], err = json.Marshal(a); err != nil {
					b.Fatal(err)
				}
			}
			responseSize, i := 0, 0
			for b.Loop() {
				w := httptest.NewRecorder()
				s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, Path, bytes.NewReader(bodies[i%n])))
				if w.Code != http.StatusOK {
					b.Fatalf("got status %d: %s", w.Code, w.Body)
				}
				responseSize = w.Body.Len()
				i++
			}
			b.ReportMetric(float64(len(bodies[0])+responseSize), "body-bytes")
		})
	}
}
