// Package settings holds the operators' settings: a tree of TOML documents
// addressed by path. A write is accepted only if the document and its
// references to other documents are valid.
//
// Each accepted write increases the revision of the tree by 1. The new revision
// is also the revision of the written document. A document that is not deleted
// is live. A deleted document leaves a tombstone, so that other copies of the
// tree learn of the deletion. A Delta holds the documents and tombstones with a
// revision above a given one; a full delta holds all live documents.
//
// A StateMachine applies the commands of the replicated log to the tree. It
// takes the time only from the timestamps in the log, so that all replicas
// reach the same state. Every write carries an operation id and the expected
// revision of the document. Once a write has passed the checks of id, key and
// rate, its result is stored at least until the id expires (OperationLifetime).
// While it is stored, a retry of the same write with the same id gets that
// result. An id contains its time of issue, so that an expired id can be told
// apart from a new one.
//
// A Store is the copy of the documents on an entry VM. It applies a delta only
// if the digest of the resulting documents equals the sender's digest. The
// revision of a Store never decreases.
package settings
