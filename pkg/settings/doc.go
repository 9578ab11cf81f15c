// Package settings holds the operators' settings: a tree of TOML documents
// under paths, checked as a whole before a write is accepted.
//
// A Machine applies commands of the replicated log to the tree. It decides by
// the time stamp of the command alone, so that all replicas hold equal state.
// Every write names the revision of the document that it was made against,
// and an operation id; a repeated id gets the first result again. Ids carry
// their time of issue, so that an id whose record has expired is told from a
// new one.
//
// A Store is the copy that entry VMs hold. It applies deltas whose digest
// proves that both ends hold equal documents, and never goes back to a lower
// revision.
package settings
