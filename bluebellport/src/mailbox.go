package bbport

import "sync"

// mailbox queues functions for one goroutine. put and nudge never block.
type mailbox struct {
	mu   sync.Mutex
	fns  []func()
	wake chan struct{}
}

func newMailbox() mailbox { return mailbox{wake: make(chan struct{}, 1)} }

// put queues fn and wakes the owner.
func (m *mailbox) put(fn func()) {
	m.mu.Lock()
	m.fns = append(m.fns, fn)
	m.mu.Unlock()
	m.notify()
}

// notify wakes the owner without a function; it takes no lock.
func (m *mailbox) notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// takeAll returns what is queued.
func (m *mailbox) takeAll() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	fns := m.fns
	m.fns = nil
	return fns
}
