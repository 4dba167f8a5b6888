package bbproxy

import "sync"

// signal tells several goroutines of an event that happens once.
type signal struct {
	once sync.Once
	ch   chan struct{}
}

func newSignal() *signal { return &signal{ch: make(chan struct{})} }

// set tells of the event. Later calls change nothing.
func (s *signal) set() { s.once.Do(func() { close(s.ch) }) }

// done returns a channel that is closed by set.
func (s *signal) done() <-chan struct{} { return s.ch }

// isSet reports whether set was called.
func (s *signal) isSet() bool {
	select {
	case <-s.ch:
		return true
	default:
		return false
	}
}
