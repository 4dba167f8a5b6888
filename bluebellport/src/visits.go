package bbport

import (
	"time"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbmember"
)

// visits decides when home pages are read without a request that needs them:
// after the fleet changed, for holders whose instance is gone, and now and then.
type visits struct {
	seen  map[int]time.Time // when each home page was last read
	after time.Time         // pages read before this are read again
}

// changed notes that the fleet changed; only an instance of the own failure
// domain that came or went matters.
func (s *visits) changed(now time.Time, old, v *bbmember.View) {
	if !covers(old, v) || !covers(v, old) {
		s.after = now.Add(visitAfter)
	}
}

// covers tells whether b has every instance that a has in a's failure domain.
func covers(a, b *bbmember.View) bool {
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

// due lists the pages to read now.
func (s *visits) due(now time.Time, v *bbmember.View) []int {
	var out []int
	for page := range bbledger.PageCount {
		last, ok := s.seen[page]
		fresh := ok && now.Sub(last) < visitEvery && (now.Before(s.after) || !last.Before(s.after))
		if fresh {
			continue
		}
		m, found := v.Home(bbledger.PageHomeKey(page), v.Self.Domain)
		if !found || m.ID != v.Self.ID {
			s.seen[page] = now
			continue
		}
		s.seen[page] = now
		out = append(out, page)
		if len(out) == visitBatch {
			break
		}
	}
	return out
}
