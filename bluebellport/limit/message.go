package bblimit

import (
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// errMalformed means that a message of another instance is not usable.
const errMalformed = errors.ConstError("malformed message about limits")

// encodeEntry converts what is known of a target to a message. Times become
// ages.
func encodeEntry(run bbplan.TargetRun, s Statement, now time.Time) *bbwire.LimitEntry {
	return &bbwire.LimitEntry{
		Target: string(run.ID), Born: run.StartedAtMillis, Limit: s.Limit, Ended: s.Ended, Even: s.Even,
		Sent: micros(now.Sub(s.SentAt)), Heard: micros(now.Sub(s.HeardAt)),
	}
}

// decodeEntry converts a message. Its error is an errMalformed.
func decodeEntry(m *bbwire.LimitEntry, now time.Time) (bbplan.TargetRun, Statement, error) {
	run := bbplan.TargetRun{ID: bbunit.TargetID(m.GetTarget()), StartedAtMillis: m.GetBorn()}
	valid := m.GetTarget() != "" && len(m.GetTarget()) <= maxTargetBytes && m.Limit >= 0 && m.Limit <= maxLimit &&
		m.Heard <= m.Sent && m.Sent <= micros(maxMessageAge)
	if !valid {
		return run, Statement{}, errMalformed
	}
	s := Statement{Limit: m.Limit, Ended: m.Ended, Even: m.Even, SentAt: now.Add(-fromMicros(m.Sent)), HeardAt: now.Add(-fromMicros(m.Heard))}
	return run, s, nil
}

// encodeAsk converts a question of a round.
func encodeAsk(r *round, confirm bool, entry *bbwire.LimitEntry) *bbwire.PermitAsk {
	return &bbwire.PermitAsk{Id: r.id, Entry: entry, Count: uint32(r.count), Patience: micros(r.asker.Patience), Account: r.asker.Account, Confirm: confirm}
}

// decodeAsk converts a question.
func decodeAsk(from bbunit.InstanceID, m *bbwire.PermitAsk) *ask {
	return &ask{
		from: from, id: m.Id, count: int(min(max(m.Count, 1), maxCount)), patience: fromMicros(min(m.Patience, micros(maxPatience))),
		account: m.Account, confirm: m.Confirm,
	}
}

// encodeTell converts a reply.
func encodeTell(t *tell, entry *bbwire.LimitEntry) *bbwire.PermitTell {
	return &bbwire.PermitTell{Id: t.id, Entry: entry, Count: uint32(t.count), Delay: micros(t.delay), Wait: micros(t.wait), Pause: micros(t.pause), Declined: t.declined}
}

// decodeTell converts a reply. Times that are too long are shortened.
func decodeTell(m *bbwire.PermitTell) tell {
	return tell{
		id: m.Id, count: int(min(m.Count, maxCount)), delay: fromMicros(min(m.Delay, micros(maxPatience))),
		wait: fromMicros(min(m.Wait, micros(maxWait))), pause: fromMicros(min(m.Pause, micros(maxPause))), declined: m.Declined,
	}
}

// micros returns a duration in microseconds, 0 if it is negative.
func micros(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }

func fromMicros(n uint64) time.Duration { return time.Duration(n) * time.Microsecond }
