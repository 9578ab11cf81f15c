package logging

// Names of log fields.
const (
	// VM is the name of the process that wrote the line. Flow is the ID of the
	// flow of a request. Target is the ID of a target, in the form
	// "service@address#incarnation".
	VM     = "VM"
	Flow   = "Flow"
	Target = "Target"
	// Service is the service of a new flow.
	Service = "Service"
	// Caller is the address and port of the caller of a flow, and Route is the
	// address and port of the route of the flow.
	Caller = "Caller"
	Route  = "Route"
	// Cause is the reason for a decision, from a bounded set.
	Cause = "Cause"
	// Number is the number of a catalog. In a line about a decision, Number is
	// the number of the catalog on which the decision is based, and CatalogAge
	// is the time since this catalog arrived.
	Number     = "Number"
	CatalogAge = "CatalogAge"
	// FeedAge is the time since the last update from the hub, and Hub is the
	// name of the hub.
	FeedAge = "FeedAge"
	Hub     = "Hub"
	// Zone is a zone, and Revision a revision of the zone orders.
	Zone     = "Zone"
	Revision = "Revision"
	// Sequence is the sequence number of the target's latest announcement.
	Sequence = "Sequence"
	// Running is the number of other flows that this VM forwards to the target.
	Running = "Running"
	// Copy is the number of the retransmission of an opening packet, or 0 for the
	// first packet.
	Copy = "Copy"
	// Former is the target to which an earlier opening packet of the same flow
	// was forwarded.
	Former = "Former"
	// Cookie is the cookie of a packet.
	Cookie = "Cookie"
	// After is the time since the start of the flow, health check or call that
	// the line is about.
	After = "After"
	// Objective is the time within which a request should be answered.
	Objective = "Objective"
	// State is the state of a target, and Role is the role of a replica.
	State = "State"
	Role  = "Role"
	// Free is the free capacity of a service that a decision assumes, in requests,
	// and FreeAge is the age of this figure. Both are missing if it is unknown.
	Free    = "Free"
	FreeAge = "FreeAge"
	// Part is the number of requests in flight that an entry VM allows for a
	// service, and InFlight the number that it has.
	Part     = "Part"
	InFlight = "InFlight"
	// Share is the guaranteed share of the request's urgency, from 0 to 1, and Place
	// the number of packets that wait ahead of the packet.
	Share = "Share"
	Place = "Place"
	// Avoided is the slow target that a flow would have gone to if all targets were
	// equally fast. Slowness is the estimate of its slowness, and EstimateAge the time
	// since a hub last confirmed it, or 0 if it comes from this VM only.
	Avoided     = "Avoided"
	Slowness    = "Slowness"
	EstimateAge = "EstimateAge"
	// Member is a replica of the log.
	Member = "Member"
	// LeftOut is the number of lines of the same cause that were suppressed
	// since the previous line of this cause.
	LeftOut = "LeftOut"
)
