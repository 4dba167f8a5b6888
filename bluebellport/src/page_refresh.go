package bbport

import (
	"time"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbmember"
)

// pageRefresher decides when home pages are read without a request that needs them:
// after the fleet changed, for holders whose instance is gone, and now and then.
type pageRefresher struct {
	lastRead  map[int]time.Time // when each home page was last read
	refreshAt time.Time         // pages read before this are read again
}

// membershipChanged notes that the fleet changed; only an instance of the own failure
// domain that came or went matters.
func (r *pageRefresher) membershipChanged(now time.Time, old, current *bbmember.View) {
	if !includesDomain(old, current) || !includesDomain(current, old) {
		r.refreshAt = now.Add(refreshDelay)
	}
}

// includesDomain tells whether b has every instance that a has in a's failure domain.
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

// duePages lists the pages to read now.
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
