package bbproxy

import "time"

// outageMeter finds out whether the store has been away for so long that entries
// of targets that are alive can have lapsed. The zero value knows of no outage.
type outageMeter struct {
	answeredAt time.Time // when the store last answered this instance or a watcher
	failedAt   time.Time // when a call of this instance last failed
	endedAt    time.Time // when the last outage ended
}

// answered is called when the store has answered a call of this instance.
func (o *outageMeter) answered(now time.Time) {
	if o.failedAt.After(o.answeredAt) && now.Sub(o.answeredAt) >= minLapseOutage {
		o.endedAt = now
	}
	o.answeredAt = now
}

// answeredPeer is called when a watcher tells that the store has answered it.
func (o *outageMeter) answeredPeer(now time.Time) { o.answeredAt = now }

// failed is called when a call of this instance has failed.
func (o *outageMeter) failed(now time.Time) { o.failedAt = now }

// endedRecently reports whether entries that lapsed in an outage may not be back
// yet.
func (o *outageMeter) endedRecently(now time.Time) bool {
	return !o.endedAt.IsZero() && now.Sub(o.endedAt) <= storeRecoveryWindow
}
