// Package steering decides where an entry VM sends packets on platforms whose
// callers and targets repeat a routing cookie in every packet.
//
// The cookie names a target. An entry VM writes it into each packet that it
// forwards, the target returns it to the caller, and the caller puts it into
// its later packets. Any entry VM can therefore forward the packets of an open
// flow by itself; only opening packets need a decision. The identity in front
// of a forwarded packet names the target's incarnation, so that a target that
// has taken over an address ignores what was meant for its predecessor.
//
// An opening packet that a caller repeats is evidence that the first choice
// does not answer. The copy goes to another target, and the first choice is
// doubted until a health check or an opened flow proves it alive. A flow that
// was opened at two targets belongs to the one whose answer the caller
// acknowledged; the table of recent flows keeps it there even where a late
// answer of the other target has replaced the caller's cookie.
package steering
