package steering

import "time"

// request is the last request of a flow. A flow has a request in flight from its
// opening packet until the caller acknowledges a part of the response, and again
// from the first packet of each later request.
type request struct {
	inFlight bool
	// sent is set once the caller has sent a packet of the request. ack is the
	// acknowledgement number of this packet, and sentAt the time of its arrival.
	sent   bool
	ack    uint32
	sentAt time.Time
}

// trackInFlight updates the last request of a flow after a packet of the caller.
// Acknowledgement numbers wrap around. A packet with a lower number than that of
// the request was delayed and belongs to an earlier request.
func (c *Core) trackInFlight(f *flow, p *Packet, now time.Time) {
	r := &f.request
	responded := r.sent && int32(p.Acknowledged-r.ack) > 0
	if responded {
		if r.inFlight {
			c.targetLoadOf(f.target).answeredAt = now
		}
		c.measureRequest(f, now)
		c.endRequest(f)
		c.endGated(f, true, now)
	}
	if p.Data > 0 && (!r.sent || responded) {
		r.sent, r.ack, r.sentAt = true, p.Acknowledged, now
		if !r.inFlight && !f.ended {
			c.countOffer(f.service, f.route.Urgency)
		}
		c.beginRequest(f)
		c.beginLater(f, now)
	}
}

// beginRequest counts a request of the flow as in flight.
func (c *Core) beginRequest(f *flow) {
	if f.request.inFlight || f.ended {
		return
	}
	f.request.inFlight = true
	c.targetLoadOf(f.target).inFlight++
	c.serviceLoadOf(f.service).inFlight++
}

// endRequest counts the request of the flow as no longer in flight.
func (c *Core) endRequest(f *flow) {
	if !f.request.inFlight {
		return
	}
	f.request.inFlight = false
	c.targetLoadOf(f.target).inFlight--
	c.serviceLoadOf(f.service).inFlight--
}
