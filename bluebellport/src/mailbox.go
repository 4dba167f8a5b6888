package bbport

import "sync"

// mailbox queues functions for the goroutine that receives from wake. put and
// notify never block on that goroutine.
type mailbox struct {
	mu   sync.Mutex
	fns  []func()
	wake chan struct{}
}

func newMailbox() mailbox { return mailbox{wake: make(chan struct{}, 1)} }

// put queues fn and wakes the goroutine.
func (m *mailbox) put(fn func()) {
	m.mu.Lock()
	m.fns = append(m.fns, fn)
	m.mu.Unlock()
	m.notify()
}

// notify wakes the goroutine without queueing a function. It takes no lock.
func (m *mailbox) notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// takeAll empties the queue and returns its functions in order.
func (m *mailbox) takeAll() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	fns := m.fns
	m.fns = nil
	return fns
}
