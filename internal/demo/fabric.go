package demo

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"bamboowalk.org/bamboowalk/internal/geneve"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// healthCheckInterval is the interval between two health checks of an entry
	// VM. An entry VM gets packets after a successful check, until
	// unhealthyThreshold consecutive checks have failed.
	healthCheckInterval = 200 * time.Millisecond
	unhealthyThreshold  = 2
	maxDatagram         = 4096
)

type (
	// receiver is a caller that gets the packets addressed to it, without their
	// Geneve encapsulation. in is the decoded form of packet. A nil packet
	// means that an entry VM refused the request.
	receiver interface {
		deliver(in geneve.Inner, packet []byte)
	}

	// fabric is a fake of the network fabric. It sends each packet of a caller
	// to a random healthy entry VM and delivers replies to the callers.
	fabric struct {
		conn   *net.UDPConn
		client *http.Client

		mu          sync.Mutex
		rng         *rand.Rand
		vms         []*fabricVM
		callers     map[netip.AddrPort]receiver
		packetsSent map[fleet.VMID]int
	}

	fabricVM struct {
		vm           fleet.VM
		failedChecks int
		healthy      bool
	}
)

func newFabric(seed uint64) (*fabric, error) {
	conn, err := listenUDP()
	if err != nil {
		return nil, err
	}
	return &fabric{
		conn:        conn,
		client:      &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		rng:         rand.New(rand.NewPCG(seed, 1)),
		callers:     make(map[netip.AddrPort]receiver),
		packetsSent: make(map[fleet.VMID]int),
	}, nil
}

func listenUDP() (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	// On failure, the socket keeps the default buffer size of the system.
	_ = conn.SetReadBuffer(4 << 20)
	return conn, nil
}

func (f *fabric) address() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func (f *fabric) add(vm fleet.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = append(f.vms, &fabricVM{vm: vm})
}

func (f *fabric) register(caller netip.AddrPort, r receiver) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers[caller] = r
}

func (f *fabric) unregister(caller netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.callers, caller)
}

// send encapsulates an inner packet and sends it to a random healthy entry VM.
// It drops the packet if no entry VM is healthy.
func (f *fabric) send(inner []byte) {
	to, ok := f.pickVM()
	if !ok {
		return
	}
	h := geneve.Header{}
	b := append(h.Append(nil, inner), inner...)
	// Callers tolerate lost datagrams.
	_, _ = f.conn.WriteToUDPAddrPort(b, to)
}

func (f *fabric) pickVM() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	healthy := make([]*fabricVM, 0, len(f.vms))
	for _, vm := range f.vms {
		if vm.healthy {
			healthy = append(healthy, vm)
		}
	}
	if len(healthy) == 0 {
		return netip.AddrPort{}, false
	}
	vm := healthy[f.rng.IntN(len(healthy))].vm
	f.packetsSent[vm.ID]++
	return vm.Data, true
}

// run receives replies and delivers them to callers until ctx is done.
func (f *fabric) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { f.conn.Close() })
	defer stop()
	decoder := geneve.NewDecoder()
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil
		}
		_, inner, err := geneve.ParseHeader(buf[:n])
		if err != nil {
			continue
		}
		f.reply(decoder, inner)
	}
}

func (f *fabric) reply(d *geneve.Decoder, inner []byte) {
	if caller, refused := refusedCaller(inner); refused {
		f.deliver(caller, geneve.Inner{}, nil)
		return
	}
	in, err := d.Decode(inner)
	if err != nil {
		return
	}
	f.deliver(in.Destination, in, inner)
}

func (f *fabric) deliver(caller netip.AddrPort, in geneve.Inner, packet []byte) {
	f.mu.Lock()
	r := f.callers[caller]
	f.mu.Unlock()
	if r != nil {
		r.deliver(in, packet)
	}
}

// refusedCaller returns the caller whose packet is quoted in an ICMP destination
// unreachable message. Entry VMs send such messages to refuse requests. It
// returns false for other packets.
func refusedCaller(b []byte) (netip.AddrPort, bool) {
	const ipv4HeaderLen, icmpHeaderLen = 20, 8
	if len(b) < 2*ipv4HeaderLen+icmpHeaderLen+2 || b[0]>>4 != 4 || b[9] != 1 || b[ipv4HeaderLen] != 3 {
		return netip.AddrPort{}, false
	}
	quoted := b[ipv4HeaderLen+icmpHeaderLen:]
	addr := netip.AddrFrom4([4]byte(quoted[12:16]))
	port := uint16(quoted[ipv4HeaderLen])<<8 | uint16(quoted[ipv4HeaderLen+1])
	return netip.AddrPortFrom(addr, port), true
}

// checkHealth checks the health of all entry VMs periodically until ctx is done.
func (f *fabric) checkHealth(ctx context.Context) error {
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	for {
		f.mu.Lock()
		vms := append([]*fabricVM(nil), f.vms...)
		f.mu.Unlock()
		for _, vm := range vms {
			f.checkVM(ctx, vm)
		}
		select {
		case <-ctx.Done():
			f.client.CloseIdleConnections()
			return nil
		case <-tick.C:
		}
	}
}

func (f *fabric) checkVM(ctx context.Context, vm *fabricVM) {
	ok := f.probe(ctx, vm.vm)
	f.mu.Lock()
	defer f.mu.Unlock()
	if ok {
		vm.failedChecks, vm.healthy = 0, true
		return
	}
	vm.failedChecks++
	if vm.failedChecks >= unhealthyThreshold {
		vm.healthy = false
	}
}

func (f *fabric) probe(ctx context.Context, vm fleet.VM) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.HTTP.String()+"/health", nil)
	if err != nil {
		return false
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fabric) healthyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, vm := range f.vms {
		if vm.healthy {
			n++
		}
	}
	return n
}
