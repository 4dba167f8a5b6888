// Package bbevacuate keeps which failure domains operators have evacuated: while one is,
// its targets get no requests.
package bbevacuate

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbhash"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

const (
	// maxStatements is about how many failure domains something is known. The oldest
	// statement is forgotten for a new one, removals first.
	maxStatements = 1024
	// maxEra is the largest era of the store that is believed. A revision above would
	// stand against all later ones.
	maxEra = 1 << 18
	// maxLoggedKeys is how many bad keys are remembered, to log each once.
	maxLoggedKeys = 64
	// maxLoggedKeyBytes is how much of a bad key is logged.
	maxLoggedKeyBytes = 60
)

// Statement says that a failure domain is evacuated as of a revision of the store, or
// that this has been taken back.
type Statement struct {
	Domain bbunit.DomainID
	Rev    bbstore.Revision
	Gone   bool
}

// News is what one instance tells another one. If Current is not 0, the sender knows all
// evacuations as of that revision, and Digest is that of those in force; Statements need
// not be all of them.
type News struct {
	Statements []Statement
	Digest     uint64
	Current    bbstore.Revision
}

// Config holds what a Keeper needs.
type Config struct {
	// Publish takes the failure domains that are evacuated, once they are known and
	// after each change. It must not block, nor change what it gets.
	Publish func(evacuated map[bbunit.DomainID]bool)
	Log     logrus.FieldLogger
	Metrics metrics.Registry
}

// Keeper knows which failure domains are evacuated. It only moves forward: of several
// statements about a failure domain the highest revision wins, and none counts that is
// not newer than the revision as of which all are known. A removal therefore has to be
// remembered only until all is known as of a later revision.
//
//	list or poll of the store --> ApplyList, ApplyPoll --+
//	messages of peers ----------> Hear ------------------+--> Publish, once all is known
type Keeper struct {
	cfg              Config
	evacuated        metrics.Gauge
	invalid, dropped metrics.Counter

	mu sync.Mutex // guards the fields below
	// statements holds the evacuations in force, and the removals above current.
	statements map[bbunit.DomainID]Statement
	// current is the revision as of which all evacuations are known, once known is set.
	current    bbstore.Revision
	known      bool
	digest     uint64 // of the evacuations in force, 0 for none
	loggedKeys map[string]bool
	loggedFull bool
}

// New returns a keeper that knows nothing.
func New(cfg Config) *Keeper {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("door.evacuations."+name, cfg.Metrics)
	}
	return &Keeper{
		cfg: cfg, evacuated: metrics.GetOrRegisterGauge("door.evacuations.known", cfg.Metrics), invalid: counter("invalid"), dropped: counter("dropped"),
		statements: map[bbunit.DomainID]Statement{}, loggedKeys: map[string]bool{},
	}
}

// Known reports whether it is known which failure domains are evacuated.
func (k *Keeper) Known() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known
}

// Current returns the revision of the store as of which all evacuations are known, 0 if
// they are not.
func (k *Keeper) Current() bbstore.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// News returns all that is known, for other instances.
func (k *Keeper) News() News {
	k.mu.Lock()
	defer k.mu.Unlock()
	news := News{Digest: k.digest, Current: k.current, Statements: make([]Statement, 0, len(k.statements))}
	for _, s := range k.statements {
		news.Statements = append(news.Statements, s)
	}
	return news
}

// Reject counts an entry that names no failure domain. Each key is logged once.
func (k *Keeper) Reject(key string, rev bbstore.Revision, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.invalid.Inc(1)
	key = key[:min(len(key), maxLoggedKeyBytes)]
	if k.loggedKeys[key] || len(k.loggedKeys) >= maxLoggedKeys {
		return
	}
	k.loggedKeys[key] = true
	k.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "evacuation-invalid", "key": key, "revision": rev}).Warn("invalid entry of an evacuation ignored")
}

// ApplyList applies all evacuations that the store has as of a revision, and returns what
// was new. Where the store came back from an older copy, its list replaces all that is
// known from before.
func (k *Keeper) ApplyList(list []Statement, rev bbstore.Revision) []Statement {
	k.mu.Lock()
	defer k.mu.Unlock()
	var changed []Statement
	if rev > k.current || !k.known {
		changed = k.replace(list, rev, "list")
	} else {
		changed = k.applyAll(list, "list") // later pages of the list may be newer
	}
	k.publish()
	return changed
}

// ApplyPoll applies the changes that the store has had after a revision until another
// one, and returns what was new. A new era takes a list: what the older copy lacks is no
// change.
func (k *Keeper) ApplyPoll(from bbstore.Revision, events []Statement, rev bbstore.Revision) []Statement {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := k.applyAll(events, "poll")
	if k.known && from <= k.current && rev > k.current && rev.Era() == k.current.Era() {
		k.advance(rev)
	}
	k.publish()
	return changed
}

// Hear applies what a peer tells. It returns what was new, and whether the peer knows
// other evacuations than this instance does then.
func (k *Keeper) Hear(news News) (changed []Statement, differs bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	statements := news.Statements[:min(len(news.Statements), maxStatements)]
	switch {
	case !isValid(news.Current):
		changed = k.applyAll(statements, "peer")
	case news.Current > k.current && digestOf(statements) == news.Digest: // all of them
		changed = k.replace(statements, news.Current, "peer")
	default:
		changed = k.applyAll(statements, "peer")
		differs = k.digest != news.Digest
		if !differs && news.Current > k.current {
			k.advance(news.Current)
		}
	}
	k.publish()
	return changed, differs
}

// replace applies all evacuations as of a revision above current: those that are not
// among them have been removed.
func (k *Keeper) replace(all []Statement, rev bbstore.Revision, way string) []Statement {
	listed := make(map[bbunit.DomainID]bool, len(all))
	var changed []Statement
	for _, s := range all {
		listed[s.Domain] = listed[s.Domain] || !s.Gone
		if isValid(s.Rev) && s.Domain != "" && s.Rev > k.statements[s.Domain].Rev && k.put(s, way) {
			changed = append(changed, s)
		}
	}
	for domain, s := range k.statements {
		if !s.Gone && !listed[domain] && s.Rev <= rev {
			gone := Statement{Domain: domain, Rev: rev, Gone: true}
			k.put(gone, way)
			changed = append(changed, gone)
		}
	}
	k.advance(rev)
	return changed
}

// applyAll applies statements in any order, and returns those that were new.
func (k *Keeper) applyAll(statements []Statement, way string) []Statement {
	var changed []Statement
	for _, s := range statements {
		if !isValid(s.Rev) || s.Domain == "" {
			k.invalid.Inc(1)
			continue
		}
		if s.Rev > k.current && s.Rev > k.statements[s.Domain].Rev && k.put(s, way) {
			changed = append(changed, s)
		}
	}
	return changed
}

// advance notes that all is known as of a revision. Older removals need not be
// remembered any more.
func (k *Keeper) advance(rev bbstore.Revision) {
	k.current, k.known = rev, true
	for domain, s := range k.statements {
		if s.Gone && s.Rev <= rev {
			delete(k.statements, domain)
		}
	}
}

// put keeps a statement that is newer than the one about the same failure domain. It
// returns false if there is no room for it.
func (k *Keeper) put(s Statement, way string) bool {
	old, ok := k.statements[s.Domain]
	if !ok && len(k.statements) >= maxStatements && !k.makeRoom(s) {
		return false
	}
	k.statements[s.Domain] = s
	k.digest ^= digestOf([]Statement{old, s})
	if was, is := ok && !old.Gone, !s.Gone; was != is {
		text := map[bool]string{true: "failure domain evacuated", false: "failure domain no longer evacuated"}[is]
		k.cfg.Log.WithFields(logrus.Fields{"event": "evacuation", "domain": s.Domain, "evacuated": is, "revision": s.Rev, "way": way}).Info(text)
	}
	return true
}

// makeRoom forgets the oldest statement, removals first. It returns false if a new one is
// older than all. Which are kept thus does not depend on the order in which they came.
func (k *Keeper) makeRoom(s Statement) bool {
	oldest := s
	for _, other := range k.statements {
		if other.Gone && !oldest.Gone || other.Gone == oldest.Gone && other.Rev < oldest.Rev {
			oldest = other
		}
	}
	if k.dropped.Inc(1); !k.loggedFull {
		k.loggedFull = true
		k.cfg.Log.WithFields(logrus.Fields{"event": "evacuation-dropped", "domain": oldest.Domain, "revision": oldest.Rev}).Warn("too many evacuations; the oldest are forgotten")
	}
	if oldest == s {
		return false
	}
	delete(k.statements, oldest.Domain)
	k.digest ^= digestOf([]Statement{oldest})
	return true
}

// publish makes the evacuations known to requests.
func (k *Keeper) publish() {
	if !k.known {
		return
	}
	evacuated := make(map[bbunit.DomainID]bool, len(k.statements))
	for domain, s := range k.statements {
		if !s.Gone {
			evacuated[domain] = true
		}
	}
	k.evacuated.Update(int64(len(evacuated)))
	k.cfg.Publish(evacuated)
}

// isValid reports whether a revision can be one of the store.
func isValid(rev bbstore.Revision) bool { return rev > 0 && rev.Era() <= maxEra }

// digestOf returns a hash of the evacuations among statements, 0 for none. It does not
// depend on their order.
func digestOf(statements []Statement) uint64 {
	var digest uint64
	for _, s := range statements {
		if s.Domain != "" && !s.Gone {
			digest ^= bbhash.Mix(xxhash.Sum64String(string(s.Domain)) ^ bbhash.Mix(uint64(s.Rev)))
		}
	}
	return digest
}
