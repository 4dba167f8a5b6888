package bbproxy

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/juju/errors"
)

// maxPlan is the largest plan that a peer may send, in bytes when decompressed.
const maxPlan = 8 << 20

// compressPlan compresses a plan for peers: the links of instances are slow,
// and one instance sends it to its whole failure domain.
func compressPlan(plan []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plan); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decompressPlan reverses compressPlan. It returns ErrMalformed if the bytes
// are not compressed or hold more than maxPlan bytes.
func decompressPlan(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.WithType(err, ErrMalformed)
	}
	out, err := io.ReadAll(io.LimitReader(r, maxPlan+1))
	if err != nil {
		return nil, errors.WithType(err, ErrMalformed)
	}
	if len(out) > maxPlan {
		return nil, errors.Annotate(ErrMalformed, "plan too large")
	}
	return out, nil
}
