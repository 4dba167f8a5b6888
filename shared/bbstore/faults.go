package bbstore

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// ErrRate means that a call was above the service's rate; it is also an
// ErrDown, since nothing was written.
const ErrRate = errors.ConstError("above the service's rate")

// Faults are the ways in which a Mem misbehaves. The zero value has none.
type Faults struct {
	// Down refuses every call and breaks the open watches.
	Down bool
	// Slow is how long each call takes. A write whose caller stops waiting
	// takes effect all the same.
	Slow time.Duration
	// LoseNext loses the answers of that many writes: each takes effect and
	// its caller gets ErrUnknown.
	LoseNext int
	// LoseEvery loses the answer of every n-th write; 0 loses none.
	LoseEvery int
	// DropNext loses that many writes themselves: the caller gets ErrUnknown
	// and nothing takes effect.
	DropNext int
	// Late, when above 0, gives every writer ErrUnknown at once and lets its
	// write take effect, if the key has not moved on, only after this time.
	Late time.Duration
	// ReadRate and WriteRate bound the calls a second; 0 does not bound.
	ReadRate, WriteRate float64
}

// Counts tells how often a store was called.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// Waiting is how many watches are open now.
	Waiting int64 `json:"waiting"`
	// Refused is how many of the calls found the service down or its rate used up.
	Refused int64 `json:"refused"`
	// Lost is how many writes got no answer.
	Lost int64 `json:"lost"`
}

// memGate is what each call of a Mem passes: its faults, rates and counts.
type memGate struct {
	faults Faults
	counts Counts
	reads  *rate.Limiter
	writes *rate.Limiter
}

// SetFaults replaces the faults. It does not block.
func (m *Mem) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.ReadRate != m.gate.faults.ReadRate {
		m.gate.reads = newLimiter(f.ReadRate)
	}
	if f.WriteRate != m.gate.faults.WriteRate {
		m.gate.writes = newLimiter(f.WriteRate)
	}
	m.gate.faults = f
	if f.Down && m.broken != nil {
		close(m.broken)
		m.broken = nil
	}
}

// Faults returns the faults in force, with what is left of the counted ones.
func (m *Mem) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gate.faults
}

// Counts returns how often the store was called so far.
func (m *Mem) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gate.counts
}

// Mute silences the watches that are open now for good; new ones work.
func (m *Mem) Mute() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.muted != nil {
		close(m.muted)
		m.muted = nil
	}
}

func newLimiter(r float64) *rate.Limiter {
	if r <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(r), int(r)+1)
}

// pass counts a refused call, and tells why it is refused.
func (g *memGate) pass(ctx context.Context, l *rate.Limiter) error {
	var err error
	switch {
	case ctx.Err() != nil:
		err = fmt.Errorf("%w: %w", ErrDown, ctx.Err())
	case g.faults.Down:
		err = ErrDown
	case l != nil && !l.Allow():
		err = fmt.Errorf("%w: %w", ErrDown, ErrRate)
	}
	if err != nil {
		g.counts.Refused++
	}
	return err
}

// read passes one read through the gate and waits as long as reads take.
func (m *Mem) read(ctx context.Context) error {
	m.mu.Lock()
	m.gate.counts.Reads++
	err := m.gate.pass(ctx, m.gate.reads)
	slow := m.gate.faults.Slow
	m.mu.Unlock()
	if err != nil || slow <= 0 {
		return err
	}
	select {
	case <-time.After(slow):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrDown, ctx.Err())
	}
}

type memAnswer struct {
	rev Revision
	err error
}

// write passes one write through the gate; apply runs under the lock.
func (m *Mem) write(ctx context.Context, apply func() (Revision, error)) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gate.counts.Writes++
	if err := m.gate.pass(ctx, m.gate.writes); err != nil {
		return 0, err
	}
	f := &m.gate.faults
	switch {
	case f.Late > 0:
		m.gate.counts.Lost++
		m.applyAfter(f.Late, apply)
		return 0, ErrUnknown
	case f.DropNext > 0:
		f.DropNext--
		m.gate.counts.Lost++
		return 0, ErrUnknown
	case m.loses():
		m.gate.counts.Lost++
		m.applyAfter(f.Slow, apply)
		return 0, ErrUnknown
	case f.Slow > 0:
		return m.applySlowly(ctx, f.Slow, apply)
	}
	return apply()
}

func (m *Mem) loses() bool {
	f := &m.gate.faults
	if f.LoseNext > 0 {
		f.LoseNext--
		return true
	}
	return f.LoseEvery > 0 && m.gate.counts.Writes%int64(f.LoseEvery) == 0
}

// applyAfter applies a write whose answer nobody gets, at once when d is 0.
func (m *Mem) applyAfter(d time.Duration, apply func() (Revision, error)) {
	if d <= 0 {
		_, _ = apply()
		return
	}
	time.AfterFunc(d, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		_, _ = apply()
	})
}

// applySlowly gives up the lock while it waits for the answer of a slow write.
func (m *Mem) applySlowly(ctx context.Context, d time.Duration, apply func() (Revision, error)) (Revision, error) {
	answer := make(chan memAnswer, 1)
	time.AfterFunc(d, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		rev, err := apply()
		answer <- memAnswer{rev, err}
	})
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case a := <-answer:
		return a.rev, a.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
}

// openWatch passes a watch through the gate and returns the channels that
// break and silence it.
func (m *Mem) openWatch(ctx context.Context) (broken, muted <-chan struct{}, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gate.counts.Watches++
	if err := m.gate.pass(ctx, m.gate.reads); err != nil {
		return nil, nil, err
	}
	m.gate.counts.Waiting++
	if m.broken == nil {
		m.broken = make(chan struct{})
	}
	if m.muted == nil {
		m.muted = make(chan struct{})
	}
	return m.broken, m.muted, nil
}

func (m *Mem) closeWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gate.counts.Waiting--
}
