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

// ErrInvalidRecord means that a record, or the text form of an Owner, is
// malformed. Nothing was recorded.
const ErrInvalidRecord = errors.ConstError("invalid record")

const (
	// Partitions is the number of partitions. It must be the same on all
	// instances and can never change, because it decides where a request is
	// looked up.
	Partitions = 16
	// Prefix is the common prefix of the keys of all leaves.
	Prefix = "/bb/leaf/"
	// MaxIDBytes is the maximum length of an account, request, budget, holder,
	// service, target or owner id.
	MaxIDBytes = 256
)

// Partition is the number of a partition, from 0 to Partitions-1.
type Partition uint32

// PartitionOf returns the partition that a request belongs to.
func PartitionOf(account, request string) Partition {
	return Partition(xxhash.Sum64String(recordKey(account, request)) % Partitions)
}

// Prefix returns the common prefix of the keys of the partition's leaves.
func (p Partition) Prefix() string { return fmt.Sprintf("%s%04d/", Prefix, p) }

// HomeKey returns the key by which the partition's home instance is chosen; see
// bbmember.View.Home.
func (p Partition) HomeKey() string { return fmt.Sprintf("leaf/%04d", p) }

// LeafNumber is the position of a leaf in its chain, from 1.
type LeafNumber uint32

func (p Partition) leafKey(n LeafNumber) string { return fmt.Sprintf("%s%d", p.Prefix(), n) }

func recordKey(account, request string) string { return account + "\x00" + request }

func keyOf(r *bbwire.Record) string { return recordKey(r.Account, r.Request) }

// Owner identifies one attempt at a request. It is unique to the attempt.
type Owner struct {
	Instance bbunit.InstanceID
	Inc      bbunit.Incarnation
	Seq      uint64
}

// String returns the text form that is stored in records: INSTANCE#INC/SEQ,
// with INC and SEQ in base 36.
func (o Owner) String() string {
	return string(o.Instance) + "#" + strconv.FormatUint(uint64(o.Inc), 36) + "/" + strconv.FormatUint(o.Seq, 36)
}

// ParseOwner parses the text form of an Owner. The error is ErrInvalidRecord.
func ParseOwner(s string) (Owner, error) {
	hashAt, slashAt := strings.LastIndexByte(s, '#'), strings.LastIndexByte(s, '/')
	if hashAt <= 0 || slashAt < hashAt {
		return Owner{}, errors.WithType(errors.Errorf("owner %q is not INSTANCE#INC/SEQ", s), ErrInvalidRecord)
	}
	inc, err := strconv.ParseUint(s[hashAt+1:slashAt], 36, 64)
	if err != nil {
		return Owner{}, errors.WithType(errors.Errorf("owner %q: incarnation is not a base 36 number", s), ErrInvalidRecord)
	}
	seq, err := strconv.ParseUint(s[slashAt+1:], 36, 64)
	if err != nil {
		return Owner{}, errors.WithType(errors.Errorf("owner %q: sequence number is not a base 36 number", s), ErrInvalidRecord)
	}
	return Owner{Instance: bbunit.InstanceID(s[:hashAt]), Inc: bbunit.Incarnation(inc), Seq: seq}, nil
}

// Check returns ErrInvalidRecord if the account or request id of r is missing,
// an id is longer than MaxIDBytes or not UTF-8, or the amount is negative.
func Check(r *bbwire.Record) error {
	if r.Account == "" || r.Request == "" {
		return errors.WithType(errors.New("account or request id missing"), ErrInvalidRecord)
	}
	if r.Amount < 0 {
		return errors.WithType(errors.Errorf("amount %d is negative", r.Amount), ErrInvalidRecord)
	}
	for _, s := range []string{r.Account, r.Request, r.Owner, r.Budget, r.Holder, r.Service, r.Target} {
		if len(s) > MaxIDBytes {
			return errors.WithType(errors.Errorf("id is %d bytes long, at most %d are allowed", len(s), MaxIDBytes), ErrInvalidRecord)
		}
		if !utf8.ValidString(s) {
			return errors.WithType(errors.Errorf("id %q is not valid UTF-8", s), ErrInvalidRecord)
		}
	}
	return nil
}

// Copy returns a deep copy of r.
func Copy(r *bbwire.Record) *bbwire.Record {
	return &bbwire.Record{
		Kind: r.Kind, Account: r.Account, Request: r.Request, Print: r.Print, Owner: r.Owner,
		Budget: r.Budget, Holder: r.Holder, Service: r.Service, Target: r.Target,
		Amount: r.Amount, Made: r.Made,
	}
}

// NewRequestID returns a new request id, a UUIDv7, which contains its creation
// time.
func NewRequestID() bbunit.RequestID {
	return bbunit.RequestID(uuid.Must(uuid.NewV7()).String())
}

// RequestIDTime returns the creation time contained in a request id, and false
// if the id is not a UUIDv7.
func RequestIDTime(request string) (time.Time, bool) {
	id, err := uuid.Parse(request)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
