package bbspread

import (
	"crypto/sha256"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

// ErrMalformed means that a packed form is unreadable or is not what its sender
// said.
const ErrMalformed = errors.ConstError("malformed packed form")

// dictionaryID stands in packed forms for the base.
const dictionaryID = 1

// Digest is the SHA-256 of a text or of a packed form. The zero value stands for
// none.
type Digest [sha256.Size]byte

// digestOf returns the digest of bytes.
func digestOf(b []byte) Digest { return sha256.Sum256(b) }

// readDigest reads a digest from a message, and reports whether it can be one.
func readDigest(b []byte) (d Digest, ok bool) {
	if len(b) == 0 {
		return Digest{}, true
	}
	return d, copy(d[:], b) == sha256.Size && len(b) == sha256.Size
}

// encode returns a digest for a message.
func (d Digest) encode() []byte {
	if d == (Digest{}) {
		return nil
	}
	return d[:]
}

// pack compresses a text, as what differs from base if there is one.
func pack(text, base []byte) ([]byte, error) {
	opts := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithLowerEncoderMem(true)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithWindowSize(windowBytes))
	}
	w, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(text, nil), nil
}

// unpack reverses pack. It returns ErrMalformed if there are no bytes, or if they are
// unreadable or hold more than maxValueBytes.
func unpack(packed, base []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, ErrMalformed
	}
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxValueBytes), zstd.WithDecoderMaxWindow(windowBytes)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	text, err := r.DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.WithType(err, ErrMalformed)
	}
	return text, nil
}
