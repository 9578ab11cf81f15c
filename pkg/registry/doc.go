// Package registry maintains a list of targets from the announcements that the
// targets send.
//
// A target process is identified by the incarnation in the target's id and by
// the start time of the process, because a target may restart under the same
// id. The announcements of one process are ordered by their sequence number; an
// announcement that arrives out of order is ignored. An address belongs to the
// process that started last, so that an announcement that was delayed by a
// partition can't restore a target whose address another target has taken over.
//
// The registries of several VMs exchange Records and converge: of two records
// of one target, the record with the later start time wins. If the start times
// are equal, a record in the state Gone wins, and otherwise the record with the
// higher sequence number. A process that announces its end, or whose address
// another target takes over, stays Gone. A target that sends no announcements for
// longer than Registry.SilenceLimit is marked as silent until its next
// announcement.
package registry
