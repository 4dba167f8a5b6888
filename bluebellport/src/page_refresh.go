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
func (s *pageRefresher) membershipChanged(now time.Time, old, v *bbmember.View) {
	if !includesDomain(old, v) || !includesDomain(v, old) {
		s.refreshAt = now.Add(refreshDelay)
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
func (s *pageRefresher) duePages(now time.Time, v *bbmember.View) []int {
	var out []int
	for page := range bbledger.PageCount {
		last, ok := s.lastRead[page]
		fresh := ok && now.Sub(last) < refreshInterval && (now.Before(s.refreshAt) || !last.Before(s.refreshAt))
		if fresh {
			continue
		}
		m, found := v.Home(bbledger.PageHomeKey(page), v.Self.Domain)
		if !found || m.ID != v.Self.ID {
			s.lastRead[page] = now
			continue
		}
		s.lastRead[page] = now
		out = append(out, page)
		if len(out) == maxRefreshesPerTick {
			break
		}
	}
	return out
}
