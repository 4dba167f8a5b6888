package bbstore

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// contractStore is an implementation of Store under test. newStore returns an
// empty store and the Mem that holds its data.
type contractStore struct {
	name     string
	newStore func(t *testing.T) (Store, *Mem)
}

func contractStores() []contractStore {
	return []contractStore{
		{"Mem", func(*testing.T) (Store, *Mem) { m := NewMem(); return m, m }},
		{"Client", newClientWithServer},
	}
}

type contractCase struct {
	name  string
	check func(is *is.I, ctx context.Context, s Store, m *Mem)
}

var contractCases = []contractCase{
	{"absent key has revision 0", func(is *is.I, ctx context.Context, s Store, _ *Mem) {
		e, err := s.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(e, Entry{Key: "a"})
	}},
	{"compare-and-swap", func(is *is.I, ctx context.Context, s Store, _ *Mem) {
		r1, err := s.CAS(ctx, "a", []byte("1"), 0, 0)
		is.NoErr(err)
		_, err = s.CAS(ctx, "a", []byte("2"), 0, 0)
		is.True(errors.Is(err, ErrConflict))
		r2, err := s.CAS(ctx, "a", []byte("2"), r1, 0)
		is.NoErr(err)
		is.True(r2 > r1)
		e, err := s.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(e, Entry{Key: "a", Value: []byte("2"), Rev: r2})
	}},
	{"a delete with another revision conflicts", func(is *is.I, ctx context.Context, s Store, _ *Mem) {
		r1, err := s.CAS(ctx, "a", []byte{}, 0, 0)
		is.NoErr(err)
		_, err = s.CAS(ctx, "a", nil, r1+1, 0)
		is.True(errors.Is(err, ErrConflict))
		_, err = s.CAS(ctx, "a", nil, r1, 0)
		is.NoErr(err)
		e, err := s.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(e.Rev, Revision(0))
	}},
	{"list is sorted and has a revision", func(is *is.I, ctx context.Context, s Store, _ *Mem) {
		for _, k := range []string{"p/b", "p/a", "q"} {
			_, err := s.CAS(ctx, k, []byte(k), 0, 0)
			is.NoErr(err)
		}
		l, rev, err := s.List(ctx, "p/")
		is.NoErr(err)
		is.Equal(len(l), 2)
		is.Equal(l[0].Key, "p/a")
		is.Equal(l[1].Key, "p/b")
		is.True(rev >= l[0].Rev && rev >= l[1].Rev)
	}},
	{"value too large", func(is *is.I, ctx context.Context, s Store, m *Mem) {
		_, err := s.CAS(ctx, "a", make([]byte, MaxValueBytes+1), 0, 0)
		is.True(errors.Is(err, ErrTooLarge))
		is.Equal(m.Counts().Writes, int64(0))
		_, err = s.CAS(ctx, "a", make([]byte, MaxValueBytes), 0, 0)
		is.NoErr(err)
	}},
	{"leases", func(is *is.I, ctx context.Context, s Store, m *Mem) {
		id, err := s.Grant(ctx, time.Minute)
		is.NoErr(err)
		_, err = s.CAS(ctx, "a", []byte("1"), 0, id)
		is.NoErr(err)
		is.NoErr(s.Renew(ctx, id))
		m.ExpireLease(id)
		e, err := s.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(e.Rev, Revision(0))
		is.True(errors.Is(s.Renew(ctx, id), ErrLeaseNotFound))
		_, err = s.CAS(ctx, "a", []byte("1"), 0, id)
		is.True(errors.Is(err, ErrLeaseNotFound))
		id, err = s.Grant(ctx, time.Minute)
		is.NoErr(err)
		is.NoErr(s.Revoke(ctx, id))
		is.True(errors.Is(s.Revoke(ctx, id), ErrLeaseNotFound))
	}},
	{"a lease expires after its duration", func(is *is.I, ctx context.Context, s Store, _ *Mem) {
		id, err := s.Grant(ctx, time.Second)
		is.NoErr(err)
		_, err = s.CAS(ctx, "a", []byte("1"), 0, id)
		is.NoErr(err)
		var e Event
		_ = s.Watch(ctx, "a", 1, func(ev Event) error { e = ev; return errStop })
		is.Equal(e.Value, []byte(nil))
		is.True(errors.Is(s.Renew(ctx, id), ErrLeaseNotFound))
	}},
	{"the service is down", func(is *is.I, ctx context.Context, s Store, m *Mem) {
		m.SetFaults(Faults{Down: true})
		_, err := s.Get(ctx, "a")
		is.True(errors.Is(err, ErrDown))
		_, err = s.CAS(ctx, "a", []byte("1"), 0, 0)
		is.True(errors.Is(err, ErrDown))
		_, _, err = s.List(ctx, "a")
		is.True(errors.Is(err, ErrDown))
		_, err = s.Grant(ctx, time.Second)
		is.True(errors.Is(err, ErrDown))
		is.True(errors.Is(s.Watch(ctx, "a", 0, func(Event) error { return nil }), ErrDown))
	}},
	{"the answer of a write is lost", func(is *is.I, ctx context.Context, s Store, m *Mem) {
		m.SetFaults(Faults{LoseNextAnswers: 1})
		_, err := s.CAS(ctx, "a", []byte("1"), 0, 0)
		is.True(errors.Is(err, ErrUnknown))
		e, err := s.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(e.Value, []byte("1"))
	}},
	{"a write is lost", func(is *is.I, ctx context.Context, s Store, m *Mem) {
		m.SetFaults(Faults{DropNextWrites: 1})
		_, err := s.CAS(ctx, "a", []byte("1"), 0, 0)
		is.True(errors.Is(err, ErrUnknown))
		_, err = s.CAS(ctx, "a", []byte("2"), 0, 0)
		is.NoErr(err)
	}},
	{"a write takes effect late", func(is *is.I, ctx context.Context, s Store, m *Mem) {
		m.SetFaults(Faults{ApplyDelay: 20 * time.Millisecond})
		_, err := s.CAS(ctx, "a", []byte("1"), 0, 0)
		is.True(errors.Is(err, ErrUnknown))
		m.SetFaults(Faults{})
		_ = s.Watch(ctx, "a", 0, func(Event) error { return errStop })
		e, err := s.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(e.Value, []byte("1"))
	}},
	{"a late write fails when the key has a newer revision", func(is *is.I, ctx context.Context, s Store, m *Mem) {
		m.SetFaults(Faults{ApplyDelay: 2 * time.Second})
		_, err := s.CAS(ctx, "a", []byte("1"), 0, 0)
		is.True(errors.Is(err, ErrUnknown))
		m.SetFaults(Faults{})
		_, err = s.CAS(ctx, "a", []byte("2"), 0, 0)
		is.NoErr(err)
		time.Sleep(3 * time.Second)
		e, err := s.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(e.Value, []byte("2"))
	}},
	{"a call takes longer than its deadline", func(is *is.I, ctx context.Context, s Store, m *Mem) {
		m.SetFaults(Faults{Latency: 3 * time.Second})
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := s.CAS(short, "a", []byte("1"), 0, 0)
		is.True(errors.Is(err, ErrUnknown))
		m.SetFaults(Faults{})
		e, err := s.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(e.Rev, Revision(0)) // the write takes effect only later
		for e.Rev == 0 {
			time.Sleep(10 * time.Millisecond)
			e, err = s.Get(ctx, "a")
			is.NoErr(err)
		}
		is.Equal(e.Value, []byte("1"))
	}},
	{"a call begins after its deadline", func(is *is.I, ctx context.Context, s Store, _ *Mem) {
		late, cancel := context.WithDeadline(ctx, time.Now())
		defer cancel()
		_, err := s.CAS(late, "a", []byte("1"), 0, 0)
		is.True(errors.Is(err, ErrDown))
		_, err = s.Get(late, "a")
		is.True(errors.Is(err, ErrDown))
		e, err := s.Get(ctx, "a")
		is.NoErr(err)
		is.Equal(e.Rev, Revision(0)) // nothing was written
	}},
	{"rate limit exceeded", func(is *is.I, ctx context.Context, s Store, m *Mem) {
		m.SetFaults(Faults{WriteRate: 1})
		var err error
		for i := 0; i < 5 && err == nil; i++ {
			_, err = s.Grant(ctx, time.Minute)
		}
		is.True(errors.Is(err, ErrDown))
		is.True(m.Counts().Refused > 0)
	}},
	{"watch from a revision", func(is *is.I, ctx context.Context, s Store, _ *Mem) {
		r1, err := s.CAS(ctx, "p/a", []byte("1"), 0, 0)
		is.NoErr(err)
		_, err = s.CAS(ctx, "q", []byte("x"), 0, 0)
		is.NoErr(err)
		r2, err := s.CAS(ctx, "p/a", []byte{}, r1, 0)
		is.NoErr(err)
		r3, err := s.CAS(ctx, "p/a", nil, r2, 0)
		is.NoErr(err)
		var got []Event
		err = s.Watch(ctx, "p/", r1, func(e Event) error {
			got = append(got, e)
			if e.Rev == r3 {
				return errStop
			}
			return nil
		})
		is.True(errors.Is(err, errStop))
		is.Equal(len(got), 2)
		is.True(got[0].Value != nil)
		is.Equal(got[0].Rev, r2)
		is.True(got[1].Value == nil)
	}},
	{"watch from a compacted revision", func(is *is.I, ctx context.Context, s Store, m *Mem) {
		for i := 0; i < 3; i++ {
			e, err := s.Get(ctx, "a")
			is.NoErr(err)
			_, err = s.CAS(ctx, "a", []byte("1"), e.Rev, 0)
			is.NoErr(err)
		}
		m.Compact()
		is.True(errors.Is(s.Watch(ctx, "a", 1, func(Event) error { return nil }), ErrCompacted))
	}},
	{"a watch ends when the service goes down", func(is *is.I, ctx context.Context, s Store, m *Mem) {
		time.AfterFunc(100*time.Millisecond, func() { m.SetFaults(Faults{Down: true}) })
		is.True(errors.Is(s.Watch(ctx, "a", 0, func(Event) error { return nil }), ErrDown))
	}},
	{"a watch ends with its context", func(is *is.I, ctx context.Context, s Store, m *Mem) {
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		err := s.Watch(short, "a", 0, func(Event) error { return nil })
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(m.Counts().Watches, int64(1))
	}},
}

const errStop = errors.ConstError("stop")

func TestStoreContract(t *testing.T) {
	for _, impl := range contractStores() {
		for _, c := range contractCases {
			t.Run(impl.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				s, m := impl.newStore(t)
				c.check(is, ctx, s, m)
				if ctx.Err() != nil {
					t.Fatal("the case did not end before its deadline")
				}
			})
		}
	}
}
