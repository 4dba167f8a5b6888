package bbledger

import (
	"sort"
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// job closes one holder: its witness is frozen, its grantees surrender, then the
// page is settled by one write.
type job struct {
	holder  bbunit.HolderID
	witness Peer
	own     bool // a holder of this very instance: no witness is needed
	frozen  bool
	marks   []*bbwire.Slice
	answers map[Peer][]*bbwire.Slice
	since   time.Time // of the surrender
	sent    time.Time
}

// finalKey names a grantee's account of a closed holder.
type finalKey struct {
	holder  bbunit.HolderID
	grantee Peer
}

// retire gives the present holder id up for good. What it granted is closed by
// a job; new draws use a new id.
func (k *Allocator) retire() {
	old := k.holder
	if k.opened || k.maybe {
		k.retired[old] = k.granted()
		k.jobs[old] = &job{holder: old, own: true, frozen: true, marks: k.retired[old], since: k.now, answers: map[Peer][]*bbwire.Slice{}}
	}
	k.holder = NewHolder(k.peer, k.page, k.next())
	k.opened, k.maybe = false, false
	k.mark, k.move, k.witness = nil, nil, Peer{}
	for _, a := range k.accounts {
		a.open, a.drawn, a.seq, a.calm, a.marks = false, 0, 0, time.Time{}, false
		a.shares = map[Peer]*share{}
	}
	k.stale = true
}

// granted lists what the present holder has handed out.
func (k *Allocator) granted() []*bbwire.Slice {
	var out []*bbwire.Slice
	for _, a := range k.ordered() {
		for _, p := range a.peers() {
			if a.share(p).granted > 0 && !a.share(p).stranded {
				out = append(out, a.slice(k.holder, p))
			}
		}
	}
	return out
}

// dead tells whether a holder on the page must be closed by this keeper: an old
// one of its own, or one of its failure domain whose instance is gone.
func (k *Allocator) dead(h *bbwire.Holder) bool {
	id := bbunit.HolderID(h.Holder)
	if id == k.holder {
		return false
	}
	p := HolderPeer(id)
	if p == k.peer {
		return true
	}
	return h.Domain == string(k.self.Domain) && !alive(k.view, p) && k.where().home
}

func (k *Allocator) hasDead() bool {
	return k.cache != nil && len(k.scanned().dead) > 0
}

func (k *Allocator) hasStuck() bool {
	return k.cache != nil && k.scanned().stuck
}

// watchHolders starts and drives the jobs that close dead holders.
func (k *Allocator) watchHolders() {
	if k.cache != nil && !k.limbo {
		for _, h := range k.scanned().dead {
			k.needJob(h)
		}
	}
	for _, j := range k.orderedJobs() {
		k.drive(j)
	}
}

func (k *Allocator) needJob(h *bbwire.Holder) {
	id := bbunit.HolderID(h.Holder)
	w := ParsePeer(h.Witness)
	j := k.jobs[id]
	if j == nil {
		own := HolderPeer(id) == k.peer
		j = &job{holder: id, witness: w, own: own, frozen: own, marks: k.retired[id], since: k.now, sent: k.now.Add(closeAfter - resendAfter), answers: map[Peer][]*bbwire.Slice{}}
		if own {
			j.sent = time.Time{}
		}
		k.jobs[id] = j
		return
	}
	if !j.own && j.witness != w {
		j.witness, j.frozen, j.marks = w, false, nil
	}
}

func (k *Allocator) orderedJobs() []*job {
	out := make([]*job, 0, len(k.jobs))
	for _, j := range k.jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].holder < out[j].holder })
	return out
}

// drive sends a job's next messages, again when they are not answered.
func (k *Allocator) drive(j *job) {
	if !j.own && alive(k.view, HolderPeer(j.holder)) {
		delete(k.jobs, j.holder) // it came back before it was closed
		return
	}
	if k.now.Sub(j.sent) < resendAfter {
		return
	}
	if !j.frozen {
		if alive(k.view, j.witness) {
			j.sent = k.now
			k.send(j.witness.ID, &bbwire.Freeze{Holder: string(j.holder)})
		}
		return
	}
	j.sent = k.now
	for _, g := range j.grantees() {
		if j.answers[g] == nil && alive(k.view, g) {
			k.send(g.ID, &bbwire.Surrender{Holder: string(j.holder)})
		}
	}
}

// grantees lists who may have a slice of the job's holder.
func (j *job) grantees() []Peer {
	seen := map[Peer]bool{}
	var out []Peer
	for _, m := range j.marks {
		if p := ParsePeer(m.Grantee); !seen[p] {
			seen[p] = true
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].String() < out[j].String() })
	return out
}

// frozen takes the promise of a witness, if it is the one that the page names.
func (k *Allocator) frozen(e Frozen) {
	j := k.jobs[bbunit.HolderID(e.Msg.Holder)]
	if j == nil || j.own || j.frozen || e.From != j.witness {
		return
	}
	j.frozen, j.marks, j.since, j.sent = true, e.Msg.Slices, k.now, time.Time{}
	k.drive(j)
}

// surrendered takes a grantee's account of a closed holder.
func (k *Allocator) surrendered(e Surrendered) {
	h := bbunit.HolderID(e.Msg.Holder)
	slices := []*bbwire.Slice{}
	for _, s := range e.Msg.Slices {
		if s.Holder == e.Msg.Holder && s.Grantee == e.From.String() {
			slices = append(slices, s)
		}
	}
	if j := k.jobs[h]; j != nil && j.frozen {
		j.answers[e.From] = slices
	}
	k.finals[finalKey{h, e.From}] = slices
	if h == k.holder {
		k.retire() // a closer has been here
	}
}

// reportClosing merges a grantee's report into the job that closes its holder,
// for a grantee that leaves before it is asked to surrender.
func (k *Allocator) reportClosing(s *bbwire.Slice) {
	j := k.jobs[bbunit.HolderID(s.Holder)]
	if j == nil {
		return
	}
	for _, m := range j.marks {
		if m.Budget == s.Budget && m.Grantee == s.Grantee && s.Spent >= 0 && s.Returned >= 0 && s.Spent+s.Returned <= m.Granted {
			m.Spent, m.Returned = max(m.Spent, s.Spent), max(m.Returned, s.Returned)
		}
	}
}

// ready tells whether the job's write may be made: every grantee answered, or
// those that can be reached had their time.
func (k *Allocator) ready(j *job) bool {
	if !j.frozen {
		return false
	}
	if k.now.Sub(j.since) >= surrenderFor {
		return true
	}
	for _, g := range j.grantees() {
		if j.answers[g] == nil && alive(k.view, g) {
			return false
		}
	}
	return true
}

// editJobs settles the holders whose jobs are ready.
func (k *Allocator) editJobs(p *bbwire.Page) bool {
	changed := false
	for _, j := range k.orderedJobs() {
		if !k.ready(j) {
			continue
		}
		for _, e := range p.Entries {
			if h := findHolder(e, j.holder); h != nil && (j.own || ParsePeer(h.Witness) == j.witness) {
				j.settle(e)
				changed = true
			}
		}
	}
	return changed
}

// settle takes the holder off the entry: what its grantees spent is settled,
// what they may still spend is stuck, and the rest is the budget's again.
func (j *job) settle(e *bbwire.Entry) {
	for _, m := range j.marks {
		g := ParsePeer(m.Grantee)
		if m.Budget != e.Budget || findStuck(e, j.holder, g) != nil {
			continue
		}
		if slices, ok := j.answers[g]; ok {
			m = pick(slices, e.Budget)
		}
		rest := m.Granted - m.Returned - m.Spent
		if rest > 0 {
			addStuck(e, j.holder, g, rest, m.Spent)
			continue
		}
		e.Settled += m.Spent
	}
	dropHolder(e, j.holder)
}

// pick returns the slice of a budget, or an empty one.
func pick(slices []*bbwire.Slice, budget string) *bbwire.Slice {
	for _, s := range slices {
		if s.Budget == budget {
			return s
		}
	}
	return &bbwire.Slice{}
}

// pruneJobs drops the jobs whose holder the page names no more, and accounts
// that nothing waits for.
func (k *Allocator) pruneJobs() {
	for id := range k.jobs {
		if !names(k.cache, id) {
			delete(k.jobs, id)
		}
	}
	stuck := map[finalKey]bool{}
	for _, e := range k.cache.Entries {
		for _, key := range stuckPeers(e) {
			stuck[key] = true
		}
	}
	for key := range k.finals {
		if !stuck[key] && k.jobs[key.holder] == nil {
			delete(k.finals, key)
		}
	}
}

// watchStuck asks grantees of closed holders again for their final account.
func (k *Allocator) watchStuck() {
	if k.cache == nil || k.now.Sub(k.asked) < stuckEvery || !k.scanned().stuck || !k.where().home && !k.retiring {
		return
	}
	k.asked = k.now
	seen := map[finalKey]bool{}
	for _, e := range k.cache.Entries {
		for _, key := range stuckPeers(e) {
			if !seen[key] && findStuck(e, key.holder, key.grantee).Amount > 0 && alive(k.view, key.grantee) {
				seen[key] = true
				k.send(key.grantee.ID, &bbwire.Surrender{Holder: string(key.holder)})
			}
		}
	}
}

// editStuck settles stuck amounts whose grantee has given its final account, and
// lowers those that shrank. While the holder is on the entry an amount of 0
// stays, so that closing the holder does not count the grantee again.
func (k *Allocator) editStuck(p *bbwire.Page) bool {
	changed := false
	for _, e := range p.Entries {
		for _, key := range stuckPeers(e) {
			changed = k.editStuckOf(e, key) || changed
		}
	}
	return changed
}

func (k *Allocator) editStuckOf(e *bbwire.Entry, key finalKey) bool {
	x, held := findStuck(e, key.holder, key.grantee), findHolder(e, key.holder) != nil
	if x.Amount == 0 {
		if !held {
			dropStuck(e, key.holder, key.grantee)
		}
		return !held
	}
	slices, ok := k.finals[key]
	if !ok {
		return false
	}
	s := pick(slices, e.Budget)
	rest := s.Granted - s.Returned - s.Spent
	if rest > 0 && rest >= x.Amount {
		return false
	}
	dropStuck(e, key.holder, key.grantee)
	switch {
	case rest > 0:
		addStuck(e, key.holder, key.grantee, rest, s.Spent)
	case held:
		e.Settled += s.Spent
		addStuck(e, key.holder, key.grantee, 0, 0)
	default:
		e.Settled += s.Spent
	}
	return true
}
