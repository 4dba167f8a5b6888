package bbstore

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// ErrRateLimited means that a call exceeded the service's rate limit. It comes
// together with ErrDown, since nothing was written.
const ErrRateLimited = errors.ConstError("rate limit of the key-value service exceeded")

// Faults are the faults that a Mem simulates. The zero value has none.
type Faults struct {
	// Down refuses every call and ends the open watches.
	Down bool
	// Latency is the duration of each read and write. A write takes effect even
	// when its caller stops waiting.
	Latency time.Duration
	// LoseNextAnswers is the number of writes that take effect but return
	// ErrUnknown.
	LoseNextAnswers int
	// LoseEveryNthAnswer makes every n-th write take effect but return
	// ErrUnknown; 0 affects none.
	LoseEveryNthAnswer int
	// DropNextWrites is the number of writes that have no effect and return
	// ErrUnknown.
	DropNextWrites int
	// ApplyDelay, when above 0, makes every write return ErrUnknown at once and
	// take effect only after this time, if the key is then still at the
	// expected revision.
	ApplyDelay time.Duration
	// ReadRate and WriteRate limit the calls per second; 0 means no limit.
	ReadRate, WriteRate float64
}

// Counts are the calls that a store has received.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// OpenWatches is the number of watches open now.
	OpenWatches int64 `json:"waiting"`
	// Refused is the number of calls refused because the service was down, the
	// rate limit was exceeded or the context had ended.
	Refused int64 `json:"refused"`
	// LostAnswers is the number of writes that returned ErrUnknown because of a
	// fault.
	LostAnswers int64 `json:"lost"`
}

// memAdmission holds the faults, rate limits and counters of a Mem. Every call
// passes its admit method first.
type memAdmission struct {
	faults       Faults
	counts       Counts
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
}

// SetFaults replaces the faults; the counted ones start anew. It does not
// block.
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

// Faults returns the current faults; the counted ones hold what is left of
// them.
func (m *Mem) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.admission.faults
}

// Counts returns the calls received so far.
func (m *Mem) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.admission.counts
}

// SilenceWatches makes the watches that are open now deliver nothing more,
// without ending them. Watches opened later are not affected.
func (m *Mem) SilenceWatches() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watchesSilenced != nil {
		close(m.watchesSilenced)
		m.watchesSilenced = nil
	}
}

// newLimiter returns a limiter for calls per second, or nil for no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// admit returns the error of a call that must be refused, and counts the
// refusal.
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

// admitRead counts a read, refuses it or waits for the latency of the store.
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

// write counts a write, refuses it or applies it according to the faults. apply
// is called with m.mu held.
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

// takeLostAnswer reports whether the answer of this write is to be lost.
func (m *Mem) takeLostAnswer() bool {
	faults := &m.admission.faults
	if faults.LoseNextAnswers > 0 {
		faults.LoseNextAnswers--
		return true
	}
	return faults.LoseEveryNthAnswer > 0 && m.admission.counts.Writes%int64(faults.LoseEveryNthAnswer) == 0
}

// applyAfter applies a write after delay and discards the result. Without a
// delay it applies the write at once; m.mu must be held.
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

// applySlowly applies a write after latency and returns the result. m.mu must
// be held; it is released during the wait.
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

// openWatch counts a watch and refuses it or returns the channels that are
// closed to break it and to silence it.
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
