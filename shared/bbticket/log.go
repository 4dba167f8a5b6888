package bbticket

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// Keys of the log in the key-value service.
const (
	// HeadKey holds the Head of the log.
	HeadKey = "/bb/ticket/head"
	// snapshotPrefix is the common prefix of the keys of the snapshot shards.
	snapshotPrefix = "/bb/ticket/snap/"
)

const (
	// snapshotShards is the number of keys over which the snapshot is spread.
	snapshotShards = 64
	// maxHeadBytes is the size of the head above which its tail is compacted.
	maxHeadBytes = 256 << 10
	// maxCompacted is the number of compacted tickets whose nonces the head
	// keeps.
	maxCompacted = 1024
	// MaxTicketBytes is the maximum size of a ticket, encoded as JSON.
	MaxTicketBytes = 512 << 10
)

// ErrNumberTaken means that the ticket's number is not the next one of the log.
// The error is a *NumberError.
const ErrNumberTaken = errors.ConstError("ticket number taken")

// NumberError reports a ticket number that is not the next one, and the number
// of the last accepted ticket.
type NumberError struct {
	Requested, LastAccepted bbunit.TicketNumber
}

// Error implements the error interface.
func (e *NumberError) Error() string {
	return fmt.Sprintf("ticket %d refused: ticket %d is in force, the next number is %d", e.Requested, e.LastAccepted, e.LastAccepted+1)
}

// Is makes errors.Is(err, ErrNumberTaken) true.
func (e *NumberError) Is(target error) bool { return target == ErrNumberTaken }

// LogEntry is one accepted ticket in the tail of the log.
type LogEntry struct {
	Ticket Ticket `json:"ticket"`
	// Nonce distinguishes tickets with the same number from different
	// operators.
	Nonce string    `json:"nonce"`
	At    time.Time `json:"at"`
}

// Head is the value at HeadKey. The log consists of a snapshot, which holds the
// state up to SnapshotNumber, and the tail, which holds the tickets after it.
type Head struct {
	// Number is the number of the last accepted ticket.
	Number         bbunit.TicketNumber `json:"number"`
	SnapshotNumber bbunit.TicketNumber `json:"folded"`
	// Tail holds the tickets above SnapshotNumber in order and without gaps.
	Tail []LogEntry `json:"tail,omitempty"`
	// Compacted lists the tickets that were compacted last, so that an operator
	// whose answer was lost can still learn whether its ticket was accepted.
	Compacted []CompactedTicket `json:"past,omitempty"`
}

// CompactedTicket is the number and nonce of a ticket that was moved from the
// tail to the snapshot.
type CompactedTicket struct {
	Number bbunit.TicketNumber `json:"number"`
	Nonce  string              `json:"nonce"`
}

// DecodeHead decodes a value of HeadKey. A nil value is an empty log.
func DecodeHead(v []byte) (Head, error) {
	var h Head
	if v == nil {
		return h, nil
	}
	if err := json.Unmarshal(v, &h); err != nil {
		return Head{}, errors.Annotate(err, "decoding the head of the ticket log")
	}
	return h, nil
}

// ApplyTail returns the state after applying the tail of h. It returns s and
// false if s is older than the snapshot, so that tickets are missing between s
// and the tail; the state then has to be loaded with Log.Load. A nil s is an
// empty state.
func (s *State) ApplyTail(h Head) (*State, bool) {
	if s == nil {
		s = &State{}
	}
	if s.Number < h.SnapshotNumber {
		return s, false
	}
	for _, entry := range h.Tail {
		if entry.Ticket.Number > s.Number {
			s = s.Apply(entry.Ticket)
		}
	}
	return s, true
}

// Log is the log of change tickets in the key-value service. Its methods block
// up to the context's deadline.
type Log struct {
	store bbstore.Store
}

// NewLog returns the log in the given store.
func NewLog(store bbstore.Store) *Log { return &Log{store: store} }

// Head reads the head and its revision.
func (l *Log) Head(ctx context.Context) (Head, bbstore.Revision, error) {
	e, err := l.store.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, errors.Trace(err)
	}
	h, err := DecodeHead(e.Value)
	return h, e.Rev, err
}

// Load reads the snapshot and the tail and returns the state in force.
func (l *Log) Load(ctx context.Context) (*State, error) {
	for {
		h, _, err := l.Head(ctx)
		if err != nil {
			return nil, errors.Trace(err)
		}
		s := &State{}
		if h.SnapshotNumber > 0 {
			if s, err = l.loadSnapshot(ctx); err != nil {
				return nil, errors.Trace(err)
			}
			s.Number = max(s.Number, h.SnapshotNumber)
		}
		if next, ok := s.ApplyTail(h); ok {
			return next, nil
		}
	}
}

// loadSnapshot reads all shards of the snapshot. The Number of the result is 0.
func (l *Log) loadSnapshot(ctx context.Context) (*State, error) {
	entries, _, err := l.store.List(ctx, snapshotPrefix)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &State{}
	for _, e := range entries {
		var shard State
		if err := json.Unmarshal(e.Value, &shard); err != nil {
			return nil, errors.Annotatef(err, "decoding snapshot shard %s", e.Key)
		}
		s = s.Merge(&shard)
	}
	// While a compaction runs, some shards may be newer than the head's
	// SnapshotNumber and others not. The tail still holds what the latter lack.
	s.Number = 0
	return s, nil
}

// Accept validates the ticket and appends it to the log by one compare-and-swap
// on the head, which puts it in force. It returns ErrInvalid, a *NumberError if
// the number is not the next one, or the store's error. After
// bbstore.ErrUnknown, calling it again with the same nonce tells whether the
// ticket was accepted.
func (l *Log) Accept(ctx context.Context, t Ticket, nonce string, now time.Time) error {
	if b, err := json.Marshal(t); err != nil || len(b) > MaxTicketBytes {
		return errors.WithType(errors.Errorf("ticket %d is %d bytes of JSON, at most %d are allowed", t.Number, len(b), MaxTicketBytes), ErrInvalid)
	}
	for {
		h, rev, err := l.Head(ctx)
		if err != nil {
			return errors.Trace(err)
		}
		if decided, err := h.outcome(t.Number, nonce); decided {
			return err
		}
		s, err := l.Load(ctx)
		if err != nil {
			return errors.Trace(err)
		}
		if s.Number != h.Number {
			continue
		}
		if err := s.Check(t); err != nil {
			return err
		}
		err = l.appendEntry(ctx, h, rev, LogEntry{Ticket: t, Nonce: nonce, At: now})
		switch {
		case err == nil:
			return nil
		case errors.Is(err, bbstore.ErrConflict), errors.Is(err, bbstore.ErrUnknown):
			// Read the head again: it tells whether the ticket was accepted,
			// its number was taken by another one, or the number is still free.
			if ctx.Err() != nil {
				return errors.Trace(err)
			}
		default:
			return errors.Trace(err)
		}
	}
}

// outcome reports whether the head decides on ticket n: (true, nil) if the
// ticket with this nonce was accepted, (true, *NumberError) if its number is
// taken or not the next one, and (false, nil) if n is the next number.
func (h Head) outcome(n bbunit.TicketNumber, nonce string) (bool, error) {
	if n == h.Number+1 {
		return false, nil
	}
	for _, entry := range h.Tail {
		if entry.Ticket.Number == n && entry.Nonce == nonce {
			return true, nil
		}
	}
	for _, compacted := range h.Compacted {
		if compacted.Number == n && compacted.Nonce == nonce {
			return true, nil
		}
	}
	return true, &NumberError{Requested: n, LastAccepted: h.Number}
}

// appendEntry writes the head with one more entry. If the head would become
// larger than maxHeadBytes, it compacts the tail first.
func (l *Log) appendEntry(ctx context.Context, h Head, rev bbstore.Revision, entry LogEntry) error {
	next := Head{Number: entry.Ticket.Number, SnapshotNumber: h.SnapshotNumber, Compacted: h.Compacted, Tail: append(h.Tail[:len(h.Tail):len(h.Tail)], entry)}
	v, err := json.Marshal(next)
	if err != nil {
		return errors.Trace(err)
	}
	if len(v) > maxHeadBytes && len(h.Tail) > 0 {
		if err := l.compact(ctx, h); err != nil {
			return errors.Annotate(err, "compacting the ticket log")
		}
		next.SnapshotNumber, next.Tail, next.Compacted = h.Number, []LogEntry{entry}, h.nextCompacted()
		if v, err = json.Marshal(next); err != nil {
			return errors.Trace(err)
		}
	}
	_, err = l.store.CAS(ctx, HeadKey, v, rev, 0)
	return errors.Trace(err)
}

// nextCompacted returns the value of Compacted after the whole tail is
// compacted.
func (h Head) nextCompacted() []CompactedTicket {
	out := slices.Clone(h.Compacted)
	for _, entry := range h.Tail {
		out = append(out, CompactedTicket{Number: entry.Ticket.Number, Nonce: entry.Nonce})
	}
	return out[max(0, len(out)-maxCompacted):]
}

// compact merges the objects of the tail into the snapshot. It never replaces
// an object by an older version, so concurrent or interrupted compactions do no
// harm.
func (l *Log) compact(ctx context.Context, h Head) error {
	s := &State{}
	for _, entry := range h.Tail {
		s = s.Apply(entry.Ticket)
	}
	for i, shard := range s.splitShards() {
		if shard == nil {
			continue
		}
		if err := l.mergeShard(ctx, fmt.Sprintf("%s%02d", snapshotPrefix, i), shard); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// mergeShard merges a shard into the one stored at key, by compare-and-swap.
func (l *Log) mergeShard(ctx context.Context, key string, shard *State) error {
	for {
		e, err := l.store.Get(ctx, key)
		if err != nil {
			return errors.Trace(err)
		}
		var current State
		if e.Value != nil {
			if err := json.Unmarshal(e.Value, &current); err != nil {
				return errors.Annotatef(err, "decoding snapshot shard %s", key)
			}
		}
		v, err := json.Marshal(current.Merge(shard))
		if err != nil {
			return errors.Trace(err)
		}
		_, err = l.store.CAS(ctx, key, v, e.Rev, 0)
		if err == nil {
			return nil
		}
		retryable := errors.Is(err, bbstore.ErrConflict) || errors.Is(err, bbstore.ErrUnknown)
		if !retryable || ctx.Err() != nil {
			return errors.Trace(err)
		}
	}
}

// splitShards distributes the objects over the snapshot shards by a hash of
// their ids. Shards without objects are nil.
func (s *State) splitShards() []*State {
	out := make([]*State, snapshotShards)
	shardOf := func(id string) *State {
		i := xxhash.Sum64String(id) % snapshotShards
		if out[i] == nil {
			out[i] = &State{
				Number:   s.Number,
				Accounts: map[bbunit.AccountID]Numbered[Account]{},
				Services: map[bbunit.ServiceID]Numbered[Service]{},
				Targets:  map[bbunit.TargetID]Numbered[Target]{},
			}
		}
		return out[i]
	}
	for id, o := range s.Accounts {
		shardOf(string(id)).Accounts[id] = o
	}
	for id, o := range s.Budgets.All() {
		shard := shardOf(string(id))
		shard.Budgets = shard.Budgets.Set(id, o)
	}
	for id, o := range s.Services {
		shardOf(string(id)).Services[id] = o
	}
	for id, o := range s.Targets {
		shardOf(string(id)).Targets[id] = o
	}
	return out
}
