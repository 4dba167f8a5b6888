package bbproxy

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// instancesPrefix is above the entries by which instances meet.
const instancesPrefix = "bluebellport/instances/"

// Registry is the part of the platform's store by which instances meet.
type Registry interface {
	Watched
	CAS(ctx context.Context, key string, value []byte, prev bbstore.Revision, lease bbstore.LeaseID) (bbstore.Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (bbstore.LeaseID, error)
	Renew(ctx context.Context, id bbstore.LeaseID) error
	Revoke(ctx context.Context, id bbstore.LeaseID) error
}

// register keeps this instance in the list of instances and tells the fleet who
// else is in it.
type register struct {
	store  Registry
	fleet  Fleet
	board  *Board
	log    logrus.FieldLogger
	set    bbplatform.Settings
	duty   func() bool // tells whether this instance watches the store
	listed map[string]bbmember.ListEntry
}

// entryJSON is an instance in the list.
type entryJSON struct {
	Domain bbunit.DomainID `json:"domain"`
}

func newRegister(store Registry, fleet Fleet, board *Board, log logrus.FieldLogger, set bbplatform.Settings, duty func() bool) *register {
	r := &register{store: store, fleet: fleet, board: board, log: log, set: set, duty: duty, listed: map[string]bbmember.ListEntry{}}
	var seeds []bbmember.ListEntry
	for _, a := range set.Seeds {
		if a != set.Peers {
			seeds = append(seeds, bbmember.ListEntry{ID: bbunit.InstanceID(a), Domain: unknownDomain, Address: a})
		}
	}
	fleet.Listed(seeds)
	return r
}

// unknownDomain stands for the failure domain of a seed until it has spoken.
const unknownDomain bbunit.DomainID = "unknown"

// keep registers and renews until ctx ends; then the entry goes.
func (r *register) keep(ctx context.Context) {
	key := instancesPrefix + r.set.Peers
	value, err := json.Marshal(entryJSON{Domain: r.set.Domain})
	if err != nil {
		panic(err) // a string always encodes
	}
	for ctx.Err() == nil {
		lease, err := r.store.Grant(ctx, leaseTime)
		if err == nil {
			if err = r.put(ctx, key, value, lease); err == nil {
				r.renew(ctx, lease)
			}
			if ctx.Err() != nil {
				end, cancel := context.WithTimeout(context.Background(), storePause)
				_ = r.store.Revoke(end, lease) // it lapses by itself otherwise
				cancel()
			}
		}
		bbclock.Wait(ctx, 2*storePause)
	}
}

// put writes the entry over one of an earlier life.
func (r *register) put(ctx context.Context, key string, value []byte, lease bbstore.LeaseID) error {
	_, err := r.store.CAS(ctx, key, value, 0, lease)
	if !errors.Is(err, bbstore.ErrConflict) {
		return err
	}
	old, err := r.store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = r.store.CAS(ctx, key, value, old.Rev, lease)
	return err
}

// renew returns once the lease is gone or ctx ends.
func (r *register) renew(ctx context.Context, lease bbstore.LeaseID) {
	for {
		bbclock.Wait(ctx, leaseRenew)
		if ctx.Err() != nil {
			return
		}
		if err := r.store.Renew(ctx, lease); errors.Is(err, bbstore.ErrLease) {
			return
		}
	}
}

// watch follows the list of instances until ctx ends.
func (r *register) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.duty() {
			r.board.Instances.Store(int64(max(len(r.fleet.View().Members), 1)))
			bbclock.Wait(ctx, time.Second)
			continue
		}
		entries, at, err := r.store.List(ctx, instancesPrefix)
		if err == nil {
			clear(r.listed)
			for _, e := range entries {
				r.take(e)
			}
			r.tell()
			r.changes(ctx, at)
		}
		bbclock.Wait(ctx, 2*storePause)
	}
}

// changes returns when the list has to be read anew.
func (r *register) changes(ctx context.Context, from bbstore.Revision) {
	for {
		events, at, err := r.store.Poll(ctx, instancesPrefix, from, listEvery)
		if err != nil || at < from {
			return
		}
		from = at
		for _, e := range events {
			r.take(e.Entry)
		}
		if len(events) > 0 {
			r.tell()
		}
		bbclock.Wait(ctx, 2*storePause) // many join at once
		if ctx.Err() != nil || !r.duty() {
			return
		}
	}
}

func (r *register) take(e bbstore.Entry) {
	address := strings.TrimPrefix(e.Key, instancesPrefix)
	if e.Value == nil {
		delete(r.listed, address)
		return
	}
	var j entryJSON
	if err := json.Unmarshal(e.Value, &j); err != nil || !bbmember.ValidAddress(address) || j.Domain == "" {
		r.log.WithError(err).WithField("key", e.Key).Warn("entry of an instance left out")
		return
	}
	r.listed[address] = bbmember.ListEntry{ID: bbunit.InstanceID(address), Domain: j.Domain, Address: address}
}

func (r *register) tell() {
	list := make([]bbmember.ListEntry, 0, len(r.listed))
	for _, l := range r.listed {
		list = append(list, l)
	}
	r.fleet.Listed(list)
	r.board.Instances.Store(int64(max(len(list), 1)))
}
