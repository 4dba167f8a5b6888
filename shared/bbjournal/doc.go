// Package bbjournal keeps claims and bills. It holds the rules that accept or
// refuse a record, the chain of leaves that stores the records of a partition
// in the key-value service, and queries for operators.
//
// A request is identified by account and request id and belongs to one
// partition. The records of a partition are stored in a chain of numbered
// leaves. Only the last leaf, the head, takes records of new requests. The
// write that fills the head, or that finds it old, seals it, and the next leaf
// may be created only after that. A new request is thus always decided by one
// compare-and-swap on one key, that of the head.
//
// Records in sealed leaves may still be replaced (a claim becomes a bill) or
// removed (a claim is withdrawn), each by a compare-and-swap on their own leaf.
// A sealed leaf is deleted as a whole once it is older than the retention; the
// head is never deleted. An unsealed leaf below the head can only come from a
// delayed write that created a deleted leaf again; it is ignored.
//
// A request id is remembered for at least the retention after its record was
// written. An id that contains its time (UUIDv7) and is older than the
// retention is refused. Any other id that is used again after the retention
// counts as a new request.
package bbjournal
