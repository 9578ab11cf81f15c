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

// Names of the kinds of requests in the report.
const (
	kindLookup = "lookup"
	kindOrder  = "order"
	kindTCP    = "TCP order"
	kindSheet  = "sheet"
)

var kinds = []string{kindLookup, kindOrder, kindTCP, kindSheet}

// result is the outcome of one request. err is nil if the request got the
// expected response.
type result struct {
	kind   string
	id     string
	caller netip.AddrPort
	begin  time.Time
	end    time.Time
	err    error
}

// callerAddr returns the address of the n-th caller of a kind. Addresses are
// unique, so that each request has its own 5-tuple.
func callerAddr(kind byte, n int) netip.AddrPort {
	addr := netip.AddrFrom4([4]byte{198, 19, kind, byte(n % 250)})
	return netip.AddrPortFrom(addr, uint16(10000+n/250))
}

func sheetCallerAddr(n int) netip.AddrPort { return callerAddr(4, n) }

// startTraffic starts the downloads, and starts goroutines that send the other
// requests during the traffic period. It adds all goroutines to wg.
func (d *Demo) startTraffic(ctx context.Context, wg *sync.WaitGroup) {
	for n := range d.opts.Sheets {
		id := fmt.Sprintf("sheet-%d", n)
		d.startRequest(ctx, wg, kindSheet, id, sheetCallerAddr(n), sheetTimeout, func(ctx context.Context, caller netip.AddrPort) error {
			return d.httpRequest(ctx, caller, sheetVIP, "GET", "/sheet/"+id, sheetService, expectSheet(id, d.sheetSize()))
		})
	}
	d.startAtRate(ctx, wg, d.opts.Lookups, func(n int) {
		id := fmt.Sprintf("lookup-%d", n)
		d.startRequest(ctx, wg, kindLookup, id, callerAddr(1, n), requestTimeout, func(ctx context.Context, caller netip.AddrPort) error {
			return d.httpRequest(ctx, caller, lookupVIP, "GET", "/lookup/"+id, counterService, expectBody(responseBody(counterService, id)))
		})
	})
	d.startAtRate(ctx, wg, d.opts.Orders, func(n int) {
		id := fmt.Sprintf("order-%d", n)
		d.startRequest(ctx, wg, kindOrder, id, callerAddr(2, n), requestTimeout, func(ctx context.Context, caller netip.AddrPort) error {
			return d.httpRequest(ctx, caller, orderVIP, "POST", "/order/"+id, counterService, expectBody(responseBody(counterService, id)))
		})
	})
	d.startAtRate(ctx, wg, d.opts.TCPOrders, func(n int) {
		id := fmt.Sprintf("tcp-order-%d", n)
		d.startRequest(ctx, wg, kindTCP, id, callerAddr(3, n), requestTimeout, func(ctx context.Context, caller netip.AddrPort) error {
			return d.tcpRequest(ctx, caller, id)
		})
	})
}

// startAtRate calls start in the background, rate times per second, until the
// end of the traffic period. n is the number of the call, from 0.
func (d *Demo) startAtRate(ctx context.Context, wg *sync.WaitGroup, rate float64, start func(n int)) {
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

func (d *Demo) startRequest(ctx context.Context, wg *sync.WaitGroup, kind, id string, caller netip.AddrPort, timeout time.Duration, do func(context.Context, netip.AddrPort) error) {
	wg.Go(func() {
		reqCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		r := result{kind: kind, id: id, caller: caller, begin: time.Now()}
		r.err = do(reqCtx, caller)
		r.end = time.Now()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.results = append(d.results, r)
	})
}

func (d *Demo) httpRequest(ctx context.Context, caller, vip netip.AddrPort, method, path string, service fleet.ServiceID, check func(io.Reader) error) error {
	return roundTrip(ctx, d.fabric, caller, vip, d.callerTLS, method, path, service, check)
}

func (d *Demo) tcpRequest(ctx context.Context, caller netip.AddrPort, id string) error {
	c := &tcpCaller{fabric: d.fabric, source: caller, vip: orderTCPVIP, segments: make(chan *layers.TCP, 64)}
	got, err := c.do(ctx, id+"\n")
	if err != nil {
		return err
	}
	if want := responseBody(counterService, id); got != want {
		return &mismatchError{got: got, want: want}
	}
	return nil
}

func isMismatch(err error) bool {
	var mismatch *mismatchError
	return errors.As(err, &mismatch)
}
