package bbproxy

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

// ErrNoMemory means that the budget for bodies is used up.
const ErrNoMemory = errors.ConstError("no memory for the body")

// memoryBudget is how many bytes of bodies all requests of an instance may hold
// together. The zero value has no bytes.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// newMemoryBudget returns a part of the memory of an instance with so many
// megabytes, or with defaultMemoryMB if it is not known.
func newMemoryBudget(memoryMB int, divisor int64) *memoryBudget {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return &memoryBudget{limit: int64(memoryMB) << 20 / divisor}
}

// take takes n bytes for a body that has taken some already, and reports whether it may have so
// many: one body may hold up to twice of what is free, so that the fuller the budget is, the
// less a body may hold that is sent or read slowly, and room is left for others.
func (m *memoryBudget) take(n, already int64) bool {
	used := m.used.Add(n)
	if used > m.limit || already+n > maxOfFree*(m.limit-used+n) {
		m.used.Add(-n)
		return false
	}
	return true
}

// maxOfFree times of what is free in a budget may be held by one body.
const maxOfFree = 2

// put gives n bytes back.
func (m *memoryBudget) put(n int64) { m.used.Add(-n) }

// part returns how much of the budget is in use.
func (m *memoryBudget) part() float64 {
	if m.limit <= 0 {
		return 0
	}
	return float64(m.used.Load()) / float64(m.limit)
}

// buffer holds bytes that are read. What it has beyond freeBuffer bytes is taken
// from a budget until free is called.
type buffer struct {
	budget *memoryBudget
	bytes  []byte
	taken  int64
}

// grow makes room for more bytes, up to size bytes in all, and reports whether
// the budget allowed it.
func (b *buffer) grow(size int64) bool {
	size = min(size, max(bufferGrowth*int64(cap(b.bytes)), minBuffer))
	if more := size - freeBuffer - b.taken; more > 0 {
		if !b.budget.take(more, b.taken) {
			return false
		}
		b.taken += more
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return true
}

// free gives the bytes back. The buffer is empty then.
func (b *buffer) free() {
	b.budget.put(b.taken)
	b.bytes, b.taken = nil, 0
}

// readAll reads the rest of a body. It returns ErrBodySize if the body is longer
// than limit bytes and ErrNoMemory if the budget doesn't allow it; what has been
// read is in the buffer then.
func (b *buffer) readAll(body *bodyReader, limit int) error {
	if body.framing.length > int64(limit) {
		return errors.Trace(ErrBodySize)
	}
	size := int64(limit) + 1
	if body.framing.length >= 0 {
		size = int64(len(b.bytes)) + body.remaining
	}
	for !body.complete {
		_, err := b.readOnce(body, size)
		if len(b.bytes) > limit {
			return errors.Trace(ErrBodySize)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// readOnce reads what has come of a body. The buffer may grow to size bytes; one
// that is full then returns ErrBodySize.
func (b *buffer) readOnce(body *bodyReader, size int64) (int, error) {
	if len(b.bytes) == cap(b.bytes) {
		if int64(len(b.bytes)) >= size {
			return 0, errors.Trace(ErrBodySize)
		}
		if !b.grow(size) {
			return 0, errors.Trace(ErrNoMemory)
		}
	}
	n, err := body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
	b.bytes = b.bytes[:len(b.bytes)+n]
	return n, err
}

// hasNew reports whether the n bytes read last end or contain the text.
func (b *buffer) hasNew(n int, text string) bool {
	return bytes.Contains(b.bytes[max(len(b.bytes)-n-len(text)+1, 0):], []byte(text))
}

// keep keeps only the given end of the buffer. A buffer that had grown is given
// back.
func (b *buffer) keep(rest []byte) {
	if b.taken > 0 && len(rest) <= minBuffer {
		rest = append(make([]byte, 0, minBuffer), rest...)
		b.free()
		b.bytes = rest
		return
	}
	b.bytes = append(b.bytes[:0], rest...)
}
