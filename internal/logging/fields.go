package logging

// Fields of log lines.
const (
	// VM names the process, Flow the flow of a request (see FlowID), and Target
	// a target as "service@address#incarnation".
	VM     = "VM"
	Flow   = "Flow"
	Target = "Target"
	// Service is the service of a new flow.
	Service = "Service"
	// Caller and Route are the addresses of a flow.
	Caller = "Caller"
	Route  = "Route"
	// Cause is the reason of a decision, from a bounded set.
	Cause = "Cause"
	// Number is that of the catalog by which was decided, and CatalogAge the time
	// since it arrived.
	Number     = "Number"
	CatalogAge = "CatalogAge"
	// FeedAge is the time since the hub was last heard, and Hub its name.
	FeedAge = "FeedAge"
	Hub     = "Hub"
	// Sequence is that of the target's announcement.
	Sequence = "Sequence"
	// Running is the number of requests of this VM at the target.
	Running = "Running"
	// Copy numbers the repetitions of an opening packet.
	Copy = "Copy"
	// Former is the target that an earlier opening packet went to.
	Former = "Former"
	// After is the time since the flow or the doubt began.
	After = "After"
	// Objective is the time within which a request should be answered.
	Objective = "Objective"
	// State is the state of a target, and Role that of a replica.
	State = "State"
	Role  = "Role"
	// LeftOut is the number of lines of the same cause that were not written
	// since the last one.
	LeftOut = "LeftOut"
)
