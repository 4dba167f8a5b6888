// Package bbjournal decides what becomes of claims and bills: the pure rules,
// the chain of leaves that keeps the records of a partition in the key-value
// service, and a reader for operators.
//
// A request, named by account and request id, belongs to one partition. The
// records of a partition stand in a chain of numbered leaves, of which only the
// last, the head, takes new requests. A leaf is sealed by the write that fills
// it or finds it old, and only then may the next one be created, so that a new
// request is always decided by one compare-and-swap on one key: the head.
// Records in sealed leaves may still change (a claim becomes a bill) or go (a
// claim is withdrawn), each by compare-and-swap on their own leaf. A sealed leaf
// is deleted whole once it is older than the retention; the head never is. An
// unsealed leaf below the head can only be a delayed write to a deleted number;
// it is ignored.
//
// A request id is remembered for at least the retention after its record was
// written. An id that carries its time (UUIDv7) and is older than the retention
// is refused. Any other id that comes back after the retention is a new request.
package bbjournal
