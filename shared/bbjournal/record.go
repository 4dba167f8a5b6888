package bbjournal

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// ErrInvalidRecord means that a record is malformed; nothing was recorded.
const ErrInvalidRecord = errors.ConstError("bad record")

const (
	// Partitions is how many chains of leaves there are. It is the same in the
	// whole fleet for ever.
	Partitions = 16
	// Prefix is what the keys of all leaves begin with.
	Prefix = "/bb/leaf/"
	// MaxIDBytes is the longest account, request, budget, holder, service, target or
	// owner name, in bytes.
	MaxIDBytes = 256
)

// Partition is the number of a chain of leaves.
type Partition uint32

// PartitionOf returns the partition of a request.
func PartitionOf(account, request string) Partition {
	return Partition(xxhash.Sum64String(recordKey(account, request)) % Partitions)
}

// Prefix returns what the keys of the partition's leaves begin with.
func (p Partition) Prefix() string { return fmt.Sprintf("%s%04d/", Prefix, p) }

// HomeKey returns the key by which the partition's home is chosen.
func (p Partition) HomeKey() string { return fmt.Sprintf("leaf/%04d", p) }

// LeafNumber is the place of a leaf in its chain; the first is 1.
type LeafNumber uint32

func (p Partition) leafKey(n LeafNumber) string { return fmt.Sprintf("%s%d", p.Prefix(), n) }

func recordKey(account, request string) string { return account + "\x00" + request }

func keyOf(r *bbwire.Record) string { return recordKey(r.Account, r.Request) }

// Owner names one attempt at a request: no two attempts have the same.
type Owner struct {
	Instance bbunit.InstanceID
	Inc      bbunit.Incarnation
	Seq      uint64
}

// String returns the form that records carry.
func (o Owner) String() string {
	return string(o.Instance) + "#" + strconv.FormatUint(uint64(o.Inc), 36) + "/" + strconv.FormatUint(o.Seq, 36)
}

// ParseOwner reads the form that String returns, or ErrRecord.
func ParseOwner(s string) (Owner, error) {
	hashAt, slashAt := strings.LastIndexByte(s, '#'), strings.LastIndexByte(s, '/')
	if hashAt <= 0 || slashAt < hashAt {
		return Owner{}, errors.WithType(errors.Errorf("owner %q", s), ErrInvalidRecord)
	}
	inc, err := strconv.ParseUint(s[hashAt+1:slashAt], 36, 64)
	if err != nil {
		return Owner{}, errors.WithType(errors.Errorf("owner %q", s), ErrInvalidRecord)
	}
	seq, err := strconv.ParseUint(s[slashAt+1:], 36, 64)
	if err != nil {
		return Owner{}, errors.WithType(errors.Errorf("owner %q", s), ErrInvalidRecord)
	}
	return Owner{Instance: bbunit.InstanceID(s[:hashAt]), Inc: bbunit.Incarnation(inc), Seq: seq}, nil
}

// Check returns ErrRecord when r is malformed: a name missing or too long, or a
// negative amount.
func Check(r *bbwire.Record) error {
	if r.Account == "" || r.Request == "" {
		return errors.WithType(errors.New("account or request id missing"), ErrInvalidRecord)
	}
	if r.Amount < 0 {
		return errors.WithType(errors.Errorf("amount %d below 0", r.Amount), ErrInvalidRecord)
	}
	for _, s := range []string{r.Account, r.Request, r.Owner, r.Budget, r.Holder, r.Service, r.Target} {
		if len(s) > MaxIDBytes {
			return errors.WithType(errors.Errorf("name of %d bytes, at most %d", len(s), MaxIDBytes), ErrInvalidRecord)
		}
		if !utf8.ValidString(s) {
			return errors.WithType(errors.Errorf("name %q is not UTF-8", s), ErrInvalidRecord)
		}
	}
	return nil
}

// Copy returns a record that shares nothing mutable with r.
func Copy(r *bbwire.Record) *bbwire.Record {
	return &bbwire.Record{
		Kind: r.Kind, Account: r.Account, Request: r.Request, Print: r.Print, Owner: r.Owner,
		Budget: r.Budget, Holder: r.Holder, Service: r.Service, Target: r.Target,
		Amount: r.Amount, Made: r.Made,
	}
}

// NewRequestID returns a request id that carries its time.
func NewRequestID() bbunit.RequestID {
	return bbunit.RequestID(uuid.Must(uuid.NewV7()).String())
}

// RequestIDTime returns when a request id was made, and false when the id does not
// carry its time.
func RequestIDTime(request string) (time.Time, bool) {
	id, err := uuid.Parse(request)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
