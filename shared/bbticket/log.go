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
	// snapPrefix holds the state that the tail stands on, in shards.
	snapPrefix = "/bb/ticket/snap/"
)

const (
	// shards is how many parts the folded state has.
	shards = 64
	// maxTail is the size of the head, in bytes, above which it is folded.
	maxTail = 256 << 10
	// maxPast is how many nonces of folded tickets the head keeps.
	maxPast = 1024
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
			if s, err = l.loadShards(ctx); err != nil {
				return nil, errors.Trace(err)
			}
			s.Number = max(s.Number, h.SnapshotNumber)
		}
		if next, ok := s.ApplyTail(h); ok {
			return next, nil
		}
	}
}

func (l *Log) loadShards(ctx context.Context) (*State, error) {
	es, _, err := l.store.List(ctx, snapPrefix)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &State{}
	for _, e := range es {
		var part State
		if err := json.Unmarshal(e.Value, &part); err != nil {
			return nil, errors.Annotatef(err, "shard %s", e.Key)
		}
		s = s.Merge(&part)
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
		if done, err := h.settled(t.Number, nonce); done {
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
		err = l.append(ctx, h, rev, LogEntry{Ticket: t, Nonce: nonce, At: now})
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

// settled tells whether the number's fate is known from the head.
func (h Head) settled(n bbunit.TicketNumber, nonce string) (bool, error) {
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

// append writes the head with one more ticket, folding the tail first when it
// has grown large.
func (l *Log) append(ctx context.Context, h Head, rev bbstore.Revision, a LogEntry) error {
	next := Head{Number: a.Ticket.Number, SnapshotNumber: h.SnapshotNumber, Compacted: h.Compacted, Tail: append(h.Tail[:len(h.Tail):len(h.Tail)], a)}
	v, err := json.Marshal(next)
	if err != nil {
		return errors.Trace(err)
	}
	if len(v) > maxTail && len(h.Tail) > 0 {
		if err := l.fold(ctx, h); err != nil {
			return errors.Annotate(err, "folding the ticket log")
		}
		next.SnapshotNumber, next.Tail, next.Compacted = h.Number, []LogEntry{a}, h.past()
		if v, err = json.Marshal(next); err != nil {
			return errors.Trace(err)
		}
	}
	_, err = l.store.CAS(ctx, HeadKey, v, rev, 0)
	return errors.Trace(err)
}

// past is what Past becomes when the whole tail is folded.
func (h Head) past() []CompactedTicket {
	out := slices.Clone(h.Compacted)
	for _, a := range h.Tail {
		out = append(out, CompactedTicket{Number: a.Ticket.Number, Nonce: a.Nonce})
	}
	return out[max(0, len(out)-maxPast):]
}

// fold writes the tail's objects into their shards. It goes only forward, so
// that two folds at once, or one that stops half way, do no harm.
func (l *Log) fold(ctx context.Context, h Head) error {
	s := &State{}
	for _, a := range h.Tail {
		s = s.Apply(a.Ticket)
	}
	for i, part := range s.split() {
		if part == nil {
			continue
		}
		if err := l.foldShard(ctx, fmt.Sprintf("%s%02d", snapPrefix, i), part); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (l *Log) foldShard(ctx context.Context, key string, part *State) error {
	for {
		e, err := l.store.Get(ctx, key)
		if err != nil {
			return errors.Trace(err)
		}
		var old State
		if e.Value != nil {
			if err := json.Unmarshal(e.Value, &old); err != nil {
				return errors.Annotatef(err, "shard %s", key)
			}
		}
		v, err := json.Marshal(old.Merge(part))
		if err != nil {
			return errors.Trace(err)
		}
		_, err = l.store.CAS(ctx, key, v, e.Rev, 0)
		if err == nil {
			return nil
		}
		again := errors.Is(err, bbstore.ErrConflict) || errors.Is(err, bbstore.ErrUnknown)
		if !again || ctx.Err() != nil {
			return errors.Trace(err)
		}
	}
}

// split deals the objects out to the shards by their ids.
func (s *State) split() []*State {
	out := make([]*State, shards)
	at := func(id string) *State {
		i := xxhash.Sum64String(id) % shards
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
		at(string(id)).Accounts[id] = o
	}
	for id, o := range s.Budgets.All() {
		part := at(string(id))
		part.Budgets = part.Budgets.Set(id, o)
	}
	for id, o := range s.Services {
		at(string(id)).Services[id] = o
	}
	for id, o := range s.Targets {
		at(string(id)).Targets[id] = o
	}
	return out
}
