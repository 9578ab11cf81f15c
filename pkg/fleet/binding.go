package fleet

import (
	"net/netip"
	"time"
)

// FlowLifetime is the longest time for which a flow lasts. Older flows may be discarded.
const FlowLifetime = time.Minute

// FlowBinding tells that a flow is contested: several targets may have been offered it, so
// that the cookies of the caller's packets may name any of them.
type FlowBinding struct {
	_      struct{} `cbor:",toarray"`
	Caller netip.AddrPort
	VIP    netip.AddrPort
	// Target is the target at which the flow is open, or 0 if the sender does not know it
	// and asks who does.
	Target Incarnation
}

// Validate returns a FieldError if an address is missing.
func (b *FlowBinding) Validate() error {
	if !b.Caller.IsValid() || !b.VIP.IsValid() {
		return &FieldError{Type: "FlowBinding", Field: "Caller", Reason: "and VIP must be set"}
	}
	return nil
}
