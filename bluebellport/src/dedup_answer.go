package bbport

import (
	"context"
	"time"

	"bluebellport.example/shared/bbunit"
)

// Answer is one caller's handle on a shared answer.
type Answer struct {
	shared *sharedAnswer
	pos    int // index of the next part to read; guarded by shared.mu
	left   bool
}

// Context is the context under which the leader runs the request. It ends with
// ErrCallersLeft when all callers have been away for longer than the grace
// period and the answer is not complete.
func (a *Answer) Context() context.Context { return a.shared.ctx }

// SetHead sets the head of the answer; the leader calls it before Write.
func (a *Answer) SetHead(head *ResponseHead) {
	s := a.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = head
	s.notifyAll()
}

// Write adds a part, which the caller must not change afterwards. While the
// buffer is full, it waits for the slowest reader until ctx or the answer's
// Context ends, and then returns the cause.
func (a *Answer) Write(ctx context.Context, part []byte) error {
	s := a.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts = append(s.parts, part)
	s.bytes += int64(len(part))
	s.notifyAll()
	for s.trim(); s.bytes > s.dedup.maxAnswerBytes; s.trim() {
		if err := s.wait(ctx, s.ctx); err != nil {
			return err
		}
	}
	return nil
}

// wait releases mu until the answer changes or either context ends, and returns
// the cause in the latter case.
func (s *sharedAnswer) wait(ctx, abandoned context.Context) error {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-abandoned.Done():
		return context.Cause(abandoned)
	}
}

// Finish ends the answer; only the leader's first call has an effect. A
// complete answer is kept for later copies; after any other outcome a later
// copy leads again.
func (a *Answer) Finish(outcome bbunit.Outcome) {
	s := a.shared
	s.mu.Lock()
	if s.done {
		s.mu.Unlock()
		return
	}
	s.done, s.outcome = true, outcome
	complete, size := outcome == bbunit.OutcomeDone && s.firstPart == 0, s.bytes
	if s.graceTimer != nil {
		s.graceTimer.Stop()
	}
	s.notifyAll()
	s.mu.Unlock()
	s.dedup.finish(s.shard, s, complete, size, outcome)
	s.cancel(nil)
}

// Head waits for the head of the answer until ctx ends. It returns nil if the
// answer ended without a head.
func (a *Answer) Head(ctx context.Context) (*ResponseHead, error) {
	s := a.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.head == nil && !s.done {
		if err := s.waitRead(ctx); err != nil {
			return nil, err
		}
	}
	return s.head, nil
}

// Read waits for parts from index from on until ctx ends. It marks the parts
// before that index as read, so that they may be discarded. When done is set,
// no more parts will come and Outcome is valid. The error is ErrPartDiscarded
// when the part at from was discarded or the caller has left.
func (a *Answer) Read(ctx context.Context, from int) (parts [][]byte, done bool, err error) {
	s := a.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.pos < from {
		a.pos = from
		if s.bytes > s.dedup.maxAnswerBytes {
			s.notifyAll()
		}
	}
	for !s.done && from >= s.firstPart+len(s.parts) {
		if err := s.waitRead(ctx); err != nil {
			return nil, false, err
		}
	}
	if from < s.firstPart || a.left {
		return nil, false, ErrPartDiscarded
	}
	if n := from - s.firstPart; n < len(s.parts) {
		parts = append(parts, s.parts[n:]...)
	}
	return parts, s.done, nil
}

// waitRead is wait for readers. It ignores the answer's Context, since after
// its end Finish follows.
func (s *sharedAnswer) waitRead(ctx context.Context) error { return s.wait(ctx, context.Background()) }

// Outcome returns how the answer ended. It is valid once Read has returned
// done.
func (a *Answer) Outcome() bbunit.Outcome {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	return a.shared.outcome
}

// Leave detaches a caller, which may be the leader. The request goes on while
// others are attached, and for the grace period after that.
func (a *Answer) Leave() {
	s := a.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.left {
		return
	}
	a.left = true
	delete(s.readers, a)
	s.notifyAll()
	if len(s.readers) > 0 || s.done {
		return
	}
	s.graceTimer = time.AfterFunc(s.dedup.grace, s.cancelIfUnread)
}

// cancelIfUnread cancels the answer's context unless a caller has joined again
// or the answer has ended.
func (s *sharedAnswer) cancelIfUnread() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.readers) == 0 && !s.done {
		s.cancel(ErrCallersLeft)
	}
}
