package bbcrash

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbhash"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
)

// ranking orders the instances of a view for each fingerprint, in the same way
// at every instance.
type ranking struct {
	view   *bbmember.View
	ids    []bbunit.InstanceID
	hashes []uint64
	runs   map[bbunit.InstanceID]bbunit.Incarnation
}

// update follows a change of the view, and returns the instances that have joined
// or started again. Leaving instances are left out.
func (r *ranking) update(view *bbmember.View) (started []bbunit.InstanceID) {
	if view == r.view {
		return nil
	}
	old := r.runs
	*r = ranking{view: view, runs: map[bbunit.InstanceID]bbunit.Incarnation{}}
	for _, m := range view.Members {
		if m.Leaving {
			continue
		}
		r.ids = append(r.ids, m.ID)
		r.hashes = append(r.hashes, xxhash.Sum64String(string(m.ID)))
		r.runs[m.ID] = m.Inc
		if inc, known := old[m.ID]; !known || inc != m.Inc {
			started = append(started, m.ID)
		}
	}
	return started
}

// top returns up to n instances for a fingerprint by rendezvous hashing, the
// first in rank first.
func (r *ranking) top(fingerprint uint64, n int) []bbunit.InstanceID {
	type scored struct {
		index int
		score uint64
	}
	best := make([]scored, 0, n+1)
	for i, hash := range r.hashes {
		score := bbhash.Mix(fingerprint ^ hash)
		if len(best) == n && score <= best[n-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, score, func(s scored, score uint64) int {
			if s.score > score {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, at, scored{i, score})
		best = best[:min(len(best), n)]
	}
	out := make([]bbunit.InstanceID, len(best))
	for i, s := range best {
		out[i] = r.ids[s.index]
	}
	return out
}
