// Package settings holds the operators' settings: a tree of TOML documents
// addressed by path. A write is accepted only if the document and its
// references to other documents are valid.
//
// A StateMachine applies the commands of the replicated log to the tree. It takes
// the time only from the timestamps in the log, so that all replicas reach the
// same state. Every write names an operation id and the revision that it
// expects the document to have. A retry with the same id gets the first
// result. An id contains its time of issue, so that an id whose record has
// been removed can be told apart from a new one.
//
// A Store is the copy of the documents on an entry VM. It applies deltas and
// checks that the digest of its documents then equals the sender's. Its
// revision never decreases.
package settings
