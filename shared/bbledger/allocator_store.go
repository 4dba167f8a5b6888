package bbledger

import (
	"github.com/juju/errors"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// down tells whether calls of the service failed in a row.
func (k *Allocator) down() bool { return k.pause > backoffLeast }

// backoff pauses the use of the service after a failed call.
func (k *Allocator) backoff() {
	k.pause = min(max(2*k.pause, backoffLeast), backoffMost)
	k.retry = k.now.Add(k.pause)
}

// store starts the next call of the service, if one is needed.
func (k *Allocator) store() {
	if k.busy || k.now.Before(k.retry) {
		return
	}
	if k.stale || k.cache == nil && (len(k.wants) > 0 || k.opened || k.maybe || len(k.jobs) > 0) {
		k.stale, k.busy = false, true
		k.out = append(k.out, Load{})
		return
	}
	if k.cache == nil {
		return
	}
	if !k.needsWrite() {
		return
	}
	next := clonePage(k.cache)
	if !k.edit(next) {
		return
	}
	for _, a := range k.accounts {
		a.usable(findHolder(findEntry(next, a.budget), k.holder))
	}
	k.busy, k.save = true, next
	k.out = append(k.out, Save{Page: next, Prev: k.rev})
}

// loaded takes the page as it stands.
func (k *Allocator) loaded(e Loaded) {
	k.busy = false
	if e.Err != nil {
		k.stale = true
		k.backoff()
		return
	}
	k.pause = 0
	landed := k.limbo && e.Rev == k.rev
	k.cache, k.rev, k.read = e.Page, e.Rev, k.now
	if landed {
		return // nothing landed yet, and it still may
	}
	k.limbo = false
	k.adopt()
}

// saved takes the outcome of a write.
func (k *Allocator) saved(e Saved) {
	next := k.save
	k.busy, k.save = false, nil
	switch {
	case e.Err == nil:
		k.pause = 0
		k.cache, k.rev, k.read, k.limbo = next, e.Rev, k.now, false
		k.adopt()
	case errors.Is(e.Err, bbstore.ErrConflict):
		k.pause = 0
		k.stale = true
	case errors.Is(e.Err, bbstore.ErrDown), errors.Is(e.Err, bbstore.ErrTooLarge):
		k.backoff()
		if !k.limbo {
			k.adopt()
		}
	default:
		k.limbo, k.stale = true, true
		k.maybe = k.maybe || names(next, k.holder)
		k.backoff()
	}
}

// names tells whether any entry of the page names the holder.
func names(p *bbwire.Page, h bbunit.HolderID) bool {
	for _, e := range p.Entries {
		if findHolder(e, h) != nil {
			return true
		}
	}
	return false
}

// adopt takes over what the page says of the own holder. It is called only when
// no write of this keeper can land any more.
func (k *Allocator) adopt() {
	found, lost := false, false
	var witness Peer
	for _, a := range k.ordered() {
		h := findHolder(findEntry(k.cache, a.budget), k.holder)
		if h == nil {
			lost = lost || a.open
			a.drawn = 0
			continue
		}
		found, a.open = true, true
		a.drawn, a.seq = bbunit.Tokens(h.Drawn), h.Seq
		k.adoptStrands(a)
		witness = ParsePeer(h.Witness)
	}
	if lost || k.maybe && !found {
		k.retire()
		return
	}
	k.maybe, k.opened = false, found
	if found {
		k.settleMove(witness)
	}
	k.pruneJobs()
}
