// Package registry keeps the list of targets that the targets themselves
// announce.
//
// A target's life is named by the incarnation in its id, and by the time of its
// start where a target starts again under the id that it had. Announcements of
// one life are ordered by their sequence; a late one changes nothing. An
// address belongs to the life that started last, so that an announcement that
// a partition held back can't bring back a target whose address another one
// has taken over.
//
// Registries of several VMs exchange Records and converge: of two records of
// one target the one of the later start counts, and of the same start the one
// with the higher sequence. A target that leaves or loses its address is Gone
// for good. One that falls silent is marked, and comes back with its next
// announcement.
package registry
