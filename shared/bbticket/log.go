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
	// HeadKey holds the head: the last number, with the tail of the log.
	HeadKey = "/bb/ticket/head"
	// snapshotPrefix holds the state that the tail stands on, in shards.
	snapshotPrefix = "/bb/ticket/snap/"
)

const (
	// snapshotShards is how many parts the folded state has.
	snapshotShards = 64
	// maxHeadBytes is the size of the head, in bytes, above which it is folded.
	maxHeadBytes = 256 << 10
	// maxCompacted is how many nonces of folded tickets the head keeps.
	maxCompacted = 1024
	// MaxTicketBytes is the largest ticket, in bytes of JSON.
	MaxTicketBytes = 512 << 10
)

// ErrNumberTaken marks a ticket whose number is not the next one; it comes as a
// *NumberError.
const ErrNumberTaken = errors.ConstError("ticket number taken")

// NumberError tells which number the log's head has.
type NumberError struct {
	Requested, Head bbunit.TicketNumber
}

// Error implements error.
func (e *NumberError) Error() string {
	return fmt.Sprintf("ticket %d refused: ticket %d is in force, the next number is %d", e.Requested, e.Head, e.Head+1)
}

// Is makes errors.Is(err, ErrNumber) true.
func (e *NumberError) Is(target error) bool { return target == ErrNumberTaken }

// LogEntry is one ticket of the tail.
type LogEntry struct {
	Ticket Ticket `json:"ticket"`
	// Nonce tells two operators' tickets of one number apart.
	Nonce string    `json:"nonce"`
	At    time.Time `json:"at"`
}

// Head is the value at HeadKey. The tail holds the tickets above Folded, in
// order and without gaps; what lies below stands in the shards.
type Head struct {
	Number         bbunit.TicketNumber `json:"number"`
	SnapshotNumber bbunit.TicketNumber `json:"folded"`
	Tail           []LogEntry          `json:"tail,omitempty"`
	// Compacted keeps the nonces of tickets that left the tail lately, so that an
	// operator whose answer was lost still learns what became of its ticket.
	Compacted []CompactedTicket `json:"past,omitempty"`
}

// CompactedTicket is the number and nonce of a ticket that left the tail.
type CompactedTicket struct {
	Number bbunit.TicketNumber `json:"number"`
	Nonce  string              `json:"nonce"`
}

// DecodeHead reads a value of HeadKey; a nil value is an empty log.
func DecodeHead(v []byte) (Head, error) {
	var h Head
	if v == nil {
		return h, nil
	}
	if err := json.Unmarshal(v, &h); err != nil {
		return Head{}, errors.Annotate(err, "head of the ticket log")
	}
	return h, nil
}

// ApplyTail returns the state with the tail in force, and false when the state is
// too old for the tail and has to be loaded whole.
func (s *State) ApplyTail(h Head) (*State, bool) {
	if s == nil {
		s = &State{}
	}
	if s.Number < h.SnapshotNumber {
		return s, false
	}
	for _, a := range h.Tail {
		if a.Ticket.Number > s.Number {
			s = s.Apply(a.Ticket)
		}
	}
	return s, true
}

// Log is the log of change tickets in the key-value service. Its calls block
// up to the context's deadline.
type Log struct {
	store bbstore.Store
}

// NewLog returns the log kept in the store.
func NewLog(store bbstore.Store) *Log { return &Log{store: store} }

// Head returns the head and the revision that wrote it.
func (l *Log) Head(ctx context.Context) (Head, bbstore.Revision, error) {
	e, err := l.store.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, errors.Trace(err)
	}
	h, err := DecodeHead(e.Value)
	return h, e.Rev, err
}

// Load returns the whole state in force.
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

func (l *Log) loadSnapshot(ctx context.Context) (*State, error) {
	entries, _, err := l.store.List(ctx, snapshotPrefix)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &State{}
	for _, e := range entries {
		var shard State
		if err := json.Unmarshal(e.Value, &shard); err != nil {
			return nil, errors.Annotatef(err, "shard %s", e.Key)
		}
		s = s.Merge(&shard)
	}
	// The shards may be ahead of the head while a fold is under way; the tail
	// still has what is missing between.
	s.Number = 0
	return s, nil
}

// Accept puts the ticket in force by one compare-and-swap on the head. It
// returns ErrInvalid, a *NumberError when another ticket has the number, or the
// store's error: after bbstore.ErrUnknown the same call with the same nonce
// tells what became of it.
func (l *Log) Accept(ctx context.Context, t Ticket, nonce string, now time.Time) error {
	if b, err := json.Marshal(t); err != nil || len(b) > MaxTicketBytes {
		return errors.WithType(errors.Errorf("ticket %d: %d bytes, at most %d", t.Number, len(b), MaxTicketBytes), ErrInvalid)
	}
	for {
		h, rev, err := l.Head(ctx)
		if err != nil {
			return errors.Trace(err)
		}
		if done, err := h.outcome(t.Number, nonce); done {
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
			// The head tells on the next turn: there, lost to another, or free.
			if ctx.Err() != nil {
				return errors.Trace(err)
			}
		default:
			return errors.Trace(err)
		}
	}
}

// outcome tells whether the number's fate is known from the head.
func (h Head) outcome(n bbunit.TicketNumber, nonce string) (bool, error) {
	if n == h.Number+1 {
		return false, nil
	}
	for _, a := range h.Tail {
		if a.Ticket.Number == n && a.Nonce == nonce {
			return true, nil
		}
	}
	for _, p := range h.Compacted {
		if p.Number == n && p.Nonce == nonce {
			return true, nil
		}
	}
	return true, &NumberError{Requested: n, Head: h.Number}
}

// appendEntry writes the head with one more ticket, folding the tail first when it
// has grown large.
func (l *Log) appendEntry(ctx context.Context, h Head, rev bbstore.Revision, a LogEntry) error {
	next := Head{Number: a.Ticket.Number, SnapshotNumber: h.SnapshotNumber, Compacted: h.Compacted, Tail: append(h.Tail[:len(h.Tail):len(h.Tail)], a)}
	v, err := json.Marshal(next)
	if err != nil {
		return errors.Trace(err)
	}
	if len(v) > maxHeadBytes && len(h.Tail) > 0 {
		if err := l.compact(ctx, h); err != nil {
			return errors.Annotate(err, "folding the ticket log")
		}
		next.SnapshotNumber, next.Tail, next.Compacted = h.Number, []LogEntry{a}, h.compactTail()
		if v, err = json.Marshal(next); err != nil {
			return errors.Trace(err)
		}
	}
	_, err = l.store.CAS(ctx, HeadKey, v, rev, 0)
	return errors.Trace(err)
}

// compactTail is what Past becomes when the whole tail is folded.
func (h Head) compactTail() []CompactedTicket {
	out := slices.Clone(h.Compacted)
	for _, a := range h.Tail {
		out = append(out, CompactedTicket{Number: a.Ticket.Number, Nonce: a.Nonce})
	}
	return out[max(0, len(out)-maxCompacted):]
}

// compact writes the tail's objects into their shards. It goes only forward, so
// that two folds at once, or one that stops half way, do no harm.
func (l *Log) compact(ctx context.Context, h Head) error {
	s := &State{}
	for _, a := range h.Tail {
		s = s.Apply(a.Ticket)
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

func (l *Log) mergeShard(ctx context.Context, key string, shard *State) error {
	for {
		e, err := l.store.Get(ctx, key)
		if err != nil {
			return errors.Trace(err)
		}
		var current State
		if e.Value != nil {
			if err := json.Unmarshal(e.Value, &current); err != nil {
				return errors.Annotatef(err, "shard %s", key)
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

// splitShards deals the objects out to the shards by their ids.
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
