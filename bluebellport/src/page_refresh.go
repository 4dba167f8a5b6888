package bbport

import (
	"time"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbmember"
)

// pageRefresher decides when this instance reads pages whose home it is without
// a request that needs them: after a change of the fleet, to close the holders
// of instances that are gone, and otherwise every refreshInterval.
type pageRefresher struct {
	lastRead  map[int]time.Time // when a page was last read, or last found to have another home
	refreshAt time.Time         // pages last read before this are due from then on
}

// membershipChanged schedules a refresh when an instance of the own failure
// domain joined, restarted or began to leave, or is gone.
func (r *pageRefresher) membershipChanged(now time.Time, old, current *bbmember.View) {
	if !includesDomain(old, current) || !includesDomain(current, old) {
		r.refreshAt = now.Add(refreshDelay)
	}
}

// includesDomain reports whether b has the members of a's failure domain
// unchanged.
func includesDomain(a, b *bbmember.View) bool {
	for _, m := range a.Members {
		if m.Domain != a.Self.Domain {
			continue
		}
		if x, ok := b.Find(m.ID); !ok || x.Inc != m.Inc || x.Leaving != m.Leaving {
			return false
		}
	}
	return true
}

// duePages returns the pages to read now, at most maxRefreshesPerTick, and
// counts them as read.
func (r *pageRefresher) duePages(now time.Time, view *bbmember.View) []int {
	var out []int
	for page := range bbledger.PageCount {
		last, ok := r.lastRead[page]
		fresh := ok && now.Sub(last) < refreshInterval && (now.Before(r.refreshAt) || !last.Before(r.refreshAt))
		if fresh {
			continue
		}
		m, found := view.Home(bbledger.PageHomeKey(page), view.Self.Domain)
		if !found || m.ID != view.Self.ID {
			r.lastRead[page] = now
			continue
		}
		r.lastRead[page] = now
		out = append(out, page)
		if len(out) == maxRefreshesPerTick {
			break
		}
	}
	return out
}
