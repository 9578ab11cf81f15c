package demo

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// auditLog records the requests that targets executed and the packets that they
// received and sent. checkGuarantees uses these records.
type auditLog struct {
	mu          sync.Mutex
	runs        map[string]int
	flowTargets map[netip.AddrPort][]*target
	flowPackets map[netip.AddrPort]*packetCounts
	misrouted   []string
}

// packetCounts counts the packets of a caller's flow that targets received and
// sent. The report lists the counts of broken requests.
type packetCounts struct{ in, out int }

func newAuditLog() *auditLog {
	return &auditLog{runs: make(map[string]int), flowTargets: make(map[netip.AddrPort][]*target), flowPackets: make(map[netip.AddrPort]*packetCounts)}
}

// addPackets adds to the packet counts of a caller's flow.
func (l *auditLog) addPackets(caller netip.AddrPort, in, out int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.flowPackets[caller]
	if counts == nil {
		counts = &packetCounts{}
		l.flowPackets[caller] = counts
	}
	counts.in += in
	counts.out += out
}

// packetsOf returns the packet counts of a caller's flow.
func (l *auditLog) packetsOf(caller netip.AddrPort) packetCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	if counts := l.flowPackets[caller]; counts != nil {
		return *counts
	}
	return packetCounts{}
}

// recordRun counts an execution of a request.
func (l *auditLog) recordRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// recordTarget records that the first packet of a caller's flow reached target
// t.
func (l *auditLog) recordTarget(caller netip.AddrPort, t *target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.flowTargets[caller], t) {
		l.flowTargets[caller] = append(l.flowTargets[caller], t)
	}
}

// recordWrongService records that a request for another service reached a
// target of service got.
func (l *auditLog) recordWrongService(id string, got fleet.ServiceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.misrouted = append(l.misrouted, fmt.Sprintf("%s reached %s", id, got))
}

func (l *auditLog) runsOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

func (l *auditLog) targetsOf(caller netip.AddrPort) []*target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.flowTargets[caller])
}
