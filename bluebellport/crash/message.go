package bbcrash

import (
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// errMalformed means that a record from another instance is not usable.
const errMalformed = errors.ConstError("malformed crash record")

// encodeRecord converts a record to a message. Times become ages.
func encodeRecord(r Record, now time.Time) *bbwire.CrashRecord {
	out := &bbwire.CrashRecord{Print: r.Fingerprint, Part: r.Part, AnswerTime: micros(r.AnswerTime)}
	for _, c := range r.Crashes {
		out.Crashes = append(out.Crashes, &bbwire.Crash{
			Id: uint64(c.ID), Target: string(c.Run.ID), Born: c.Run.StartedAtMillis, Instance: string(c.Instance),
			Age: micros(now.Sub(c.BrokenAt)), Flight: micros(c.BrokenAt.Sub(c.SentAt)),
			Excused: c.Excused, Disproved: c.Disproved, Counted: c.Counted, Doubted: c.Doubted,
		})
	}
	return out
}

func encodeRecords(records []Record, now time.Time) []*bbwire.CrashRecord {
	out := make([]*bbwire.CrashRecord, len(records))
	for i, r := range records {
		out[i] = encodeRecord(r, now)
	}
	return out
}

// splitRecords separates the records of requests from those of parts.
func splitRecords(records []Record) (requests, parts []Record) {
	for _, r := range records {
		if r.isPart() {
			parts = append(parts, r)
		} else {
			requests = append(requests, r)
		}
	}
	return requests, parts
}

// setVerdicts sets the verdicts of a message.
func setVerdicts(msg *bbwire.Crashes, records []Record, now time.Time) {
	requests, parts := splitRecords(records)
	msg.Verdicts, msg.PartVerdicts = encodeRecords(requests, now), encodeRecords(parts, now)
}

// decodeRecord converts a message to a record. Its error is an errMalformed.
func decodeRecord(m *bbwire.CrashRecord, now time.Time) (Record, error) {
	record := Record{Fingerprint: m.GetPrint(), Part: m.GetPart()}
	if record.Fingerprint == 0 || len(m.GetCrashes()) == 0 || len(m.Crashes) > record.maxCrashes() || len(record.Part) > maxPartBytes {
		return Record{}, errMalformed
	}
	record.AnswerTime = time.Duration(min(m.AnswerTime, micros(maxAnswerTime))) * time.Microsecond
	crashes := make([]Crash, 0, len(m.Crashes))
	for _, c := range m.Crashes {
		age, flight := time.Duration(c.GetAge())*time.Microsecond, time.Duration(c.GetFlight())*time.Microsecond
		switch {
		case c.GetId() == 0, c.GetTarget() == "", len(c.GetTarget()) > maxTargetBytes, len(c.GetInstance()) > maxTargetBytes:
			return Record{}, errMalformed
		case c.GetAge() > micros(maxMessageAge), c.GetFlight() > micros(maxMessageAge):
			return Record{}, errMalformed
		}
		crashes = append(crashes, Crash{
			ID: CrashID(c.Id), Run: TargetRun{ID: bbunit.TargetID(c.Target), StartedAtMillis: c.Born}, Instance: bbunit.InstanceID(c.Instance),
			BrokenAt: now.Add(-age), SentAt: now.Add(-age - flight),
			Excused: c.Excused, Disproved: c.Disproved, Counted: c.Counted, Doubted: c.Doubted,
		})
	}
	return record.with(crashes...), nil
}

// micros returns a duration in microseconds, 0 if it is negative.
func micros(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }
