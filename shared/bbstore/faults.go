package bbstore

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// ErrRateLimited means that a call was above the service's rate; it is also an
// ErrDown, since nothing was written.
const ErrRateLimited = errors.ConstError("above the service's rate")

// Faults are the ways in which a Mem misbehaves. The zero value has none.
type Faults struct {
	// Down refuses every call and breaks the open watches.
	Down bool
	// Latency is how long each call takes. A write whose caller stops waiting
	// takes effect all the same.
	Latency time.Duration
	// LoseNextAnswers loses the answers of that many writes: each takes effect
	// and its caller gets ErrUnknown.
	LoseNextAnswers int
	// LoseEveryNthAnswer loses the answer of every n-th write; 0 loses none.
	LoseEveryNthAnswer int
	// DropNextWrites loses that many writes themselves: the caller gets
	// ErrUnknown and nothing takes effect.
	DropNextWrites int
	// ApplyDelay, when above 0, gives every writer ErrUnknown at once and lets
	// its write take effect, if the key has not moved on, only after this time.
	ApplyDelay time.Duration
	// ReadRate and WriteRate bound the calls a second; 0 does not bound.
	ReadRate, WriteRate float64
}

// Counts tells how often a store was called.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// OpenWatches is how many watches are open now.
	OpenWatches int64 `json:"waiting"`
	// Refused is how many of the calls found the service down or its rate used
	// up.
	Refused int64 `json:"refused"`
	// LostAnswers is how many writes got no answer.
	LostAnswers int64 `json:"lost"`
}

// memAdmission is what each call of a Mem passes: its faults, rates and counts.
type memAdmission struct {
	faults       Faults
	counts       Counts
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
}

// SetFaults replaces the faults. It does not block.
func (m *Mem) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if faults.ReadRate != m.admission.faults.ReadRate {
		m.admission.readLimiter = newLimiter(faults.ReadRate)
	}
	if faults.WriteRate != m.admission.faults.WriteRate {
		m.admission.writeLimiter = newLimiter(faults.WriteRate)
	}
	m.admission.faults = faults
	if faults.Down && m.watchesBroken != nil {
		close(m.watchesBroken)
		m.watchesBroken = nil
	}
}

// Faults returns the faults in force, with what is left of the counted ones.
func (m *Mem) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.admission.faults
}

// Counts returns how often the store was called so far.
func (m *Mem) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.admission.counts
}

// SilenceWatches silences the watches that are open now for good; new ones
// work.
func (m *Mem) SilenceWatches() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watchesSilenced != nil {
		close(m.watchesSilenced)
		m.watchesSilenced = nil
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// admit counts a refused call, and tells why it is refused.
func (a *memAdmission) admit(ctx context.Context, limiter *rate.Limiter) error {
	var err error
	switch {
	case ctx.Err() != nil:
		err = fmt.Errorf("%w: %w", ErrDown, ctx.Err())
	case a.faults.Down:
		err = ErrDown
	case limiter != nil && !limiter.Allow():
		err = fmt.Errorf("%w: %w", ErrDown, ErrRateLimited)
	}
	if err != nil {
		a.counts.Refused++
	}
	return err
}

// admitRead passes one read through the gate and waits as long as reads take.
func (m *Mem) admitRead(ctx context.Context) error {
	m.mu.Lock()
	m.admission.counts.Reads++
	err := m.admission.admit(ctx, m.admission.readLimiter)
	latency := m.admission.faults.Latency
	m.mu.Unlock()
	if err != nil || latency <= 0 {
		return err
	}
	select {
	case <-time.After(latency):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrDown, ctx.Err())
	}
}

type writeResult struct {
	rev Revision
	err error
}

// write passes one write through the gate; apply runs under the lock.
func (m *Mem) write(ctx context.Context, apply func() (Revision, error)) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admission.counts.Writes++
	if err := m.admission.admit(ctx, m.admission.writeLimiter); err != nil {
		return 0, err
	}
	faults := &m.admission.faults
	switch {
	case faults.ApplyDelay > 0:
		m.admission.counts.LostAnswers++
		m.applyAfter(faults.ApplyDelay, apply)
		return 0, ErrUnknown
	case faults.DropNextWrites > 0:
		faults.DropNextWrites--
		m.admission.counts.LostAnswers++
		return 0, ErrUnknown
	case m.takeLostAnswer():
		m.admission.counts.LostAnswers++
		m.applyAfter(faults.Latency, apply)
		return 0, ErrUnknown
	case faults.Latency > 0:
		return m.applySlowly(ctx, faults.Latency, apply)
	}
	return apply()
}

func (m *Mem) takeLostAnswer() bool {
	faults := &m.admission.faults
	if faults.LoseNextAnswers > 0 {
		faults.LoseNextAnswers--
		return true
	}
	return faults.LoseEveryNthAnswer > 0 && m.admission.counts.Writes%int64(faults.LoseEveryNthAnswer) == 0
}

// applyAfter applies a write whose answer nobody gets, at once when d is 0.
func (m *Mem) applyAfter(delay time.Duration, apply func() (Revision, error)) {
	if delay <= 0 {
		_, _ = apply()
		return
	}
	time.AfterFunc(delay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		_, _ = apply()
	})
}

// applySlowly gives up the lock while it waits for the answer of a slow write.
func (m *Mem) applySlowly(ctx context.Context, latency time.Duration, apply func() (Revision, error)) (Revision, error) {
	answer := make(chan writeResult, 1)
	time.AfterFunc(latency, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		rev, err := apply()
		answer <- writeResult{rev, err}
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
func (m *Mem) openWatch(ctx context.Context) (broken, silenced <-chan struct{}, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admission.counts.Watches++
	if err := m.admission.admit(ctx, m.admission.readLimiter); err != nil {
		return nil, nil, err
	}
	m.admission.counts.OpenWatches++
	if m.watchesBroken == nil {
		m.watchesBroken = make(chan struct{})
	}
	if m.watchesSilenced == nil {
		m.watchesSilenced = make(chan struct{})
	}
	return m.watchesBroken, m.watchesSilenced, nil
}

func (m *Mem) closeWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admission.counts.OpenWatches--
}
