// Package settings holds the operators' settings: a tree of TOML documents
// addressed by path. A write is accepted only if the document and its
// references to other documents are valid.
//
// A StateMachine applies the commands of the replicated log to the tree. It
// takes the time only from the timestamps in the log, so that all replicas
// reach the same state. Every write carries an operation id and the expected
// revision of the document. Once a write has passed the checks of id, key and
// rate, its result is stored, and a retry with the same id gets that result.
// An id contains its time of issue, so that an expired id can be told apart
// from a new one.
//
// A Store is the copy of the documents on an entry VM. It applies deltas and
// checks that the digest of its documents then equals the sender's. Its
// revision never decreases.
package settings
