package bbport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"bluebellport.example/shared/bbroute"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
)

// singleKeyStore is a key-value store with one key. onWrite, if set, is called
// for each write with its number; it returns whether the write takes effect, and
// its error.
type singleKeyStore struct {
	bbstore.Store
	entry   bbstore.Entry
	onWrite func(writes int) (bool, error)
	writes  int
	readErr error
}

func (s *singleKeyStore) Get(context.Context, string) (bbstore.Entry, error) {
	return s.entry, s.readErr
}

func (s *singleKeyStore) List(context.Context, string) ([]bbstore.Entry, bbstore.Revision, error) {
	return []bbstore.Entry{s.entry}, s.entry.Rev, s.readErr
}

func (s *singleKeyStore) CAS(_ context.Context, key string, value []byte, prev bbstore.Revision, _ bbstore.LeaseID) (bbstore.Revision, error) {
	s.writes++
	if prev != s.entry.Rev {
		return 0, bbstore.ErrConflict
	}
	effect, err := true, error(nil)
	if s.onWrite != nil {
		effect, err = s.onWrite(s.writes)
	}
	if effect {
		s.entry = bbstore.Entry{Key: key, Value: value, Rev: prev + 1}
	}
	return s.entry.Rev, err
}

// senderFunc is an orderSender backed by a function.
type senderFunc func(i bbroute.Intent) error

func (f senderFunc) Send(_ bbticket.Target, i bbroute.Intent, _ time.Time) error { return f(i) }

// newTestOrders returns an OrderManager whose waits return at once, and the sum of
// these waits.
func newTestOrders(t *testing.T, s *singleKeyStore, f senderFunc) (*OrderManager, *time.Duration) {
	tr := newTestRouter(t, bbticket.Target{ID: "a", Domain: "d1"})
	tr.deps.Store = s
	o := newOrders(tr.deps, f)
	waited := new(time.Duration)
	o.sleep = func(_ context.Context, d time.Duration) error {
		tr.now = tr.now.Add(d)
		*waited += d
		return nil
	}
	return o, waited
}

func TestOrderFaults(t *testing.T) {
	unknown := func(effect bool) func(int) (bool, error) {
		return func(n int) (bool, error) {
			if n == 1 {
				return effect, bbstore.ErrUnknown
			}
			return true, nil
		}
	}
	existing := bbstore.Entry{Key: orderKeyPrefix + "a", Rev: 3, Value: []byte(`{"fence":4,"by":"other","done":true}`)}
	for _, c := range []struct {
		name        string
		store       singleKeyStore
		checksFence bool
		send        func(n int) error
		err         error
		fence       int
		sent        int
		waited      time.Duration
	}{
		{name: "first order", fence: 1, sent: 1},
		{name: "over another", store: singleKeyStore{entry: existing}, checksFence: true, fence: 5, sent: 1},
		{name: "over another, unchecked", store: singleKeyStore{entry: existing}, fence: 5, sent: 1, waited: orderCallTimeout},
		{name: "answer lost, took effect", store: singleKeyStore{onWrite: unknown(true)}, fence: 1, sent: 1},
		{name: "answer lost, no effect", store: singleKeyStore{onWrite: unknown(false)}, fence: 1, sent: 1},
		{name: "service down", store: singleKeyStore{readErr: bbstore.ErrDown}, err: bbstore.ErrDown},
		{name: "stale at the target", send: func(int) error { return ErrStaleFence }, err: ErrStaleFence, fence: 1, sent: 1},
		{name: "call fails twice", fence: 1, sent: 3, waited: 2 * orderRetryDelay, send: func(n int) error {
			if n < 3 {
				return ErrNotAcknowledged
			}
			return nil
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sent := 0
			o, waited := newTestOrders(t, &c.store, func(bbroute.Intent) error {
				sent++
				if c.send != nil {
					return c.send(sent)
				}
				return nil
			})
			fence, err := o.Order(context.Background(), bbticket.Target{ID: "a", ChecksFence: c.checksFence}, "load", "m")
			is.True(errors.Is(err, c.err) || err == c.err)
			is.Equal([]int{int(fence), sent}, []int{c.fence, c.sent})
			is.Equal(*waited, c.waited)
			if c.err == nil {
				is.True(strings.Contains(string(c.store.entry.Value), `"done":true`))
			}
		})
	}
}

func TestOrderIsSuperseded(t *testing.T) {
	is := is.New(t)
	s := &singleKeyStore{}
	o, _ := newTestOrders(t, s, func(bbroute.Intent) error {
		s.entry = bbstore.Entry{Rev: s.entry.Rev + 1, Value: []byte(`{"fence":9,"by":"later"}`)}
		return nil
	})
	_, err := o.Order(context.Background(), bbticket.Target{ID: "a"}, "load", "m")
	is.True(errors.Is(err, ErrSuperseded))
	is.True(strings.Contains(string(s.entry.Value), `"later"`)) // a superseded order is not marked as done
}

func TestResend(t *testing.T) {
	is := is.New(t)
	s := &singleKeyStore{entry: bbstore.Entry{Key: orderKeyPrefix + "a", Rev: 1, Value: []byte(`{"fence":4,"model":"m","by":"gone"}`)}}
	var got []bbroute.Intent
	o, _ := newTestOrders(t, s, func(i bbroute.Intent) error {
		got = append(got, i)
		return nil
	})
	o.resendAll(context.Background()) // calls of an earlier order may still be running
	is.Equal(len(got), 0)
	_ = o.sleep(context.Background(), orderResendInterval)
	o.resendAll(context.Background()) // the sender stopped before the order was done
	o.resendAll(context.Background()) // the target checks no fencing numbers, so the order is repeated
	is.Equal(len(got), 2)
	is.Equal(got[0].Model, "m")
	is.True(got[1].Done)
}

// TestOrderRequest checks the contract of POST /v1/orders: the request, and the
// error for each status.
func TestOrderRequest(t *testing.T) {
	for status, want := range map[int]error{200: nil, 204: nil, 409: ErrStaleFence, 400: ErrNotAcknowledged, 503: ErrNotAcknowledged} {
		is := is.New(t)
		var mu sync.Mutex
		var body string
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			b := make([]byte, 200)
			n, _ := r.Body.Read(b)
			body = r.Method + " " + r.URL.Path + " " + string(b[:n])
			w.WriteHeader(status)
		}))
		err := (&httpOrderSender{}).Send(bbticket.Target{ID: "a", Address: s.Listener.Addr().String()},
			bbroute.Intent{Fence: 3, Action: "load", Model: "m", OrderID: "x"}, time.Now().Add(time.Second))
		is.True(errors.Is(err, want) || err == want)
		mu.Lock()
		is.Equal(body, `POST /v1/orders {"fence":3,"action":"load","model":"m"}`)
		mu.Unlock()
		s.Close()
	}
}
