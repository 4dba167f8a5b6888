package bbproxy

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

// Server is a target as the door uses it: what is known of it, and the
// connections to it.
type Server struct {
	bbplace.Target
	pool *pool
}

// Roster holds the targets by id. The target follower owns it.
type Roster struct {
	now     func() time.Time
	meter   *meter
	servers map[bbunit.TargetID]*Server
}

// NewRoster returns an empty roster.
func NewRoster(now func() time.Time, m *meter) *Roster {
	return &Roster{now: now, meter: m, servers: map[bbunit.TargetID]*Server{}}
}

// Put takes an entry. It tells whether anything changed that requests see.
func (r *Roster) Put(t bbplan.Target) bool {
	old := r.servers[t.ID]
	if old != nil && old.Target.Target == t {
		return false
	}
	if old != nil && old.Address == t.Address && old.StartedAtMillis == t.StartedAtMillis {
		next := *old
		next.Target.Target = t
		r.servers[t.ID] = &next
		return true
	}
	if old != nil {
		old.pool.shut()
	}
	k := &bbplace.TargetState{}
	s := &Server{Target: bbplace.Target{Target: t, State: k}}
	s.pool = &pool{address: t.Address, meter: r.meter, load: func(running, waiting, slots int) { k.ReportLoad(running, waiting, slots, r.now()) }}
	r.servers[t.ID] = s
	return true
}

// Drop forgets a target.
func (r *Roster) Drop(id bbunit.TargetID) {
	if s := r.servers[id]; s != nil {
		s.pool.shut()
		delete(r.servers, id)
	}
}

// Groups returns the targets by service.
func (r *Roster) Groups() *map[bbunit.ServiceID]*Group {
	out := map[bbunit.ServiceID]*Group{}
	for _, s := range r.servers {
		g := out[s.Service]
		if g == nil {
			g = &Group{}
			out[s.Service] = g
		}
		g.Servers = append(g.Servers, s)
		g.Places = append(g.Places, &s.Target)
	}
	return &out
}

// Digest is a hash of all targets that two rosters share when they are equal.
func (r *Roster) Digest() uint64 {
	var sum uint64
	for _, s := range r.servers {
		sum ^= xxhash.Sum64String(fmt.Sprint(s.Target.Target))
	}
	return sum
}
