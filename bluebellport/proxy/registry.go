package bbproxy

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/path"
	"bluebellport.example/platform"
	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// instancesPrefix is the key prefix of the list of instances in the platform's
// store.
const instancesPrefix = "bluebellport/instances/"

// InstanceStore is the part of the platform's store that instanceRegistry uses.
type InstanceStore interface {
	WatchStore
	Get(ctx context.Context, key string) (bbstore.Entry, error)
	CAS(ctx context.Context, key string, value []byte, prev bbstore.Revision, lease bbstore.LeaseID) (bbstore.Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (bbstore.LeaseID, error)
	Renew(ctx context.Context, id bbstore.LeaseID) error
	Revoke(ctx context.Context, id bbstore.LeaseID) error
	// Era returns the newest known era of the store.
	Era() bbstore.Era
}

// instanceRegistry keeps this instance's entry in the list of instances, and
// passes the list to the peer network.
type instanceRegistry struct {
	store     InstanceStore
	peers     PeerNetwork
	board     *Board
	log       logrus.FieldLogger
	settings  bbplatform.Settings
	isWatcher func() bool                   // reports whether this instance watches the store
	instances map[string]bbmember.ListEntry // by address
	path      *bbpath.Path                  // to the store
}

// instanceJSON is the value of an entry in the list of instances.
type instanceJSON struct {
	Domain bbunit.DomainID `json:"domain"`
}

func newInstanceRegistry(store InstanceStore, peers PeerNetwork, board *Board, log logrus.FieldLogger, settings bbplatform.Settings, isWatcher func() bool) *instanceRegistry {
	r := &instanceRegistry{store: store, peers: peers, board: board, log: log, settings: settings, isWatcher: isWatcher, instances: map[string]bbmember.ListEntry{}, path: &bbpath.Path{}}
	var seeds []bbmember.ListEntry
	for _, address := range settings.SeedAddresses {
		if address != settings.PeerAddress {
			seeds = append(seeds, bbmember.ListEntry{ID: bbunit.InstanceID(address), Domain: unknownDomain, Address: address})
		}
	}
	peers.UpdateList(seeds)
	return r
}

// unknownDomain is the failure domain of a seed until it has sent a message.
const unknownDomain bbunit.DomainID = "unknown"

// keepRegistered registers this instance and renews the lease until ctx ends;
// then it removes the entry.
func (r *instanceRegistry) keepRegistered(ctx context.Context) {
	key := instancesPrefix + r.settings.PeerAddress
	value, err := json.Marshal(instanceJSON{Domain: r.settings.Domain})
	if err != nil {
		panic(err) // a string always encodes
	}
	for ctx.Err() == nil {
		era := r.store.Era()
		lease, err := r.store.Grant(ctx, instanceLeaseTTL)
		if err == nil {
			if err = r.putEntry(ctx, key, value, lease); err == nil {
				r.renewLease(ctx, lease, era)
			}
			if ctx.Err() != nil {
				revokeCtx, cancel := context.WithTimeout(context.Background(), minStoreBackoff)
				_ = r.store.Revoke(revokeCtx, lease) // otherwise the lease expires
				cancel()
			}
		}
		bbclock.Wait(ctx, 2*minStoreBackoff)
	}
}

// putEntry writes this instance's entry, also over one that an earlier run left.
func (r *instanceRegistry) putEntry(ctx context.Context, key string, value []byte, lease bbstore.LeaseID) error {
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

// renewLease renews the lease. It returns when the lease is lost, the store is no
// longer in the era or ctx ends.
func (r *instanceRegistry) renewLease(ctx context.Context, lease bbstore.LeaseID, era bbstore.Era) {
	for {
		for end := time.Now().Add(leaseRenewInterval); time.Now().Before(end); {
			bbclock.Wait(ctx, eraCheckInterval)
			if ctx.Err() != nil || r.store.Era() != era {
				return
			}
		}
		if err := r.store.Renew(ctx, lease); errors.Is(err, bbstore.ErrLeaseNotFound) {
			return
		}
	}
}

// watchInstances follows the list of instances until ctx ends.
func (r *instanceRegistry) watchInstances(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.isWatcher() {
			r.board.Instances.Store(int64(max(len(r.peers.View().Members), 1)))
			bbclock.Wait(ctx, time.Second)
			continue
		}
		entries, rev, err := r.store.List(ctx, instancesPrefix)
		if err == nil {
			clear(r.instances)
			for _, e := range entries {
				r.applyEntry(e)
			}
			r.publish()
			r.pollChanges(ctx, rev)
		}
		bbclock.Wait(ctx, 2*minStoreBackoff)
	}
}

// pollChanges applies changes. It returns when the list has to be read again.
func (r *instanceRegistry) pollChanges(ctx context.Context, from bbstore.Revision) {
	for {
		events, rev, err := pollUntilLost(ctx, r.store, r.path, instancesPrefix, from, instanceListWait)
		if errors.Is(err, errPollLost) {
			events, rev, err = nil, from, nil // polls anew from there
		}
		if err != nil || rev < from {
			return
		}
		from = rev
		for _, e := range events {
			r.applyEntry(e.Entry)
		}
		if len(events) > 0 {
			r.publish()
		}
		bbclock.Wait(ctx, 2*minStoreBackoff) // batches instances that join together
		if ctx.Err() != nil || !r.isWatcher() {
			return
		}
	}
}

// applyEntry applies one entry of the list, without a value if it was deleted.
func (r *instanceRegistry) applyEntry(e bbstore.Entry) {
	address := strings.TrimPrefix(e.Key, instancesPrefix)
	if e.Value == nil {
		delete(r.instances, address)
		return
	}
	var instance instanceJSON
	if err := json.Unmarshal(e.Value, &instance); err != nil || !bbmember.ValidAddress(address) || instance.Domain == "" {
		r.log.WithError(err).WithField("key", e.Key).Warn("invalid entry of an instance ignored")
		return
	}
	r.instances[address] = bbmember.ListEntry{ID: bbunit.InstanceID(address), Domain: instance.Domain, Address: address}
}

// publish passes the list to the peer network and counts the instances. The list
// lacks some of them shortly after the store came back from an older copy.
func (r *instanceRegistry) publish() {
	list := make([]bbmember.ListEntry, 0, len(r.instances))
	for _, l := range r.instances {
		list = append(list, l)
	}
	r.peers.UpdateList(list)
	r.board.Instances.Store(int64(max(len(list), len(r.peers.View().Members), 1)))
}
