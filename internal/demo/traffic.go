package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/google/gopacket/layers"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	requestTimeout = 8 * time.Second
	sheetTimeout   = time.Minute
)

// Kinds of requests in the report.
const (
	kindLookup = "lookup"
	kindOrder  = "order"
	kindTCP    = "TCP order"
	kindSheet  = "sheet"
)

var kinds = []string{kindLookup, kindOrder, kindTCP, kindSheet}

// result is the end of one request.
type result struct {
	kind   string
	id     string
	caller netip.AddrPort
	begin  time.Time
	end    time.Time
	err    error
}

// callerAt returns the address of the n-th caller of a kind: each request has
// its own 5-tuple.
func callerAt(kind byte, n int) netip.AddrPort {
	addr := netip.AddrFrom4([4]byte{198, 19, kind, byte(n % 250)})
	return netip.AddrPortFrom(addr, uint16(10000+n/250))
}

func sheetCaller(n int) netip.AddrPort { return callerAt(4, n) }

// traffic starts all requests in the background.
func (d *Demo) traffic(ctx context.Context, wg *sync.WaitGroup) {
	for n := range d.opts.Sheets {
		id := fmt.Sprintf("sheet-%d", n)
		d.request(ctx, wg, kindSheet, id, sheetCaller(n), sheetTimeout, func(ctx context.Context, caller netip.AddrPort) error {
			return d.http(ctx, caller, sheetVIP, "GET", "/sheet/"+id, sheetService, expectSheet(id, d.sheetSize()))
		})
	}
	d.stream(ctx, wg, d.opts.Lookups, func(n int) {
		id := fmt.Sprintf("lookup-%d", n)
		d.request(ctx, wg, kindLookup, id, callerAt(1, n), requestTimeout, func(ctx context.Context, caller netip.AddrPort) error {
			return d.http(ctx, caller, lookupVIP, "GET", "/lookup/"+id, counterService, expectContent(content(counterService, id)))
		})
	})
	d.stream(ctx, wg, d.opts.Orders, func(n int) {
		id := fmt.Sprintf("order-%d", n)
		d.request(ctx, wg, kindOrder, id, callerAt(2, n), requestTimeout, func(ctx context.Context, caller netip.AddrPort) error {
			return d.http(ctx, caller, orderVIP, "POST", "/order/"+id, counterService, expectContent(content(counterService, id)))
		})
	})
	d.stream(ctx, wg, d.opts.TCPOrders, func(n int) {
		id := fmt.Sprintf("tcp-order-%d", n)
		d.request(ctx, wg, kindTCP, id, callerAt(3, n), requestTimeout, func(ctx context.Context, caller netip.AddrPort) error {
			return d.tcp(ctx, caller, id)
		})
	})
}

// stream starts requests at a constant rate for the time of the traffic.
func (d *Demo) stream(ctx context.Context, wg *sync.WaitGroup, rate float64, start func(n int)) {
	interval := time.Duration(float64(time.Second) / rate)
	end := time.Now().Add(d.opts.Traffic)
	wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; time.Now().Before(end); n++ {
			start(n)
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	})
}

func (d *Demo) request(ctx context.Context, wg *sync.WaitGroup, kind, id string, caller netip.AddrPort, timeout time.Duration, do func(context.Context, netip.AddrPort) error) {
	wg.Go(func() {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		r := result{kind: kind, id: id, caller: caller, begin: time.Now()}
		r.err = do(limited, caller)
		r.end = time.Now()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.results = append(d.results, r)
	})
}

func (d *Demo) http(ctx context.Context, caller, vip netip.AddrPort, method, path string, service fleet.ServiceID, check func(io.Reader) error) error {
	return roundTrip(ctx, d.fabric, caller, vip, d.caller, method, path, service, check)
}

func (d *Demo) tcp(ctx context.Context, caller netip.AddrPort, id string) error {
	c := &tcpCaller{fabric: d.fabric, source: caller, vip: orderTCPVIP, in: make(chan *layers.TCP, 64)}
	got, err := c.do(ctx, id+"\n")
	if err != nil {
		return err
	}
	if want := content(counterService, id); got != want {
		return &contentError{got: got, want: want}
	}
	return nil
}

func isContent(err error) bool {
	var ce *contentError
	return errors.As(err, &ce)
}
