package bbwire

import "io"

// Unbuffered adds ReadByte to a reader, without buffering, so that nothing beyond the
// message that is decoded is consumed.
type Unbuffered struct{ io.Reader }

// ReadByte reads a single byte.
func (r Unbuffered) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}
