package bbcrash

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbunit"
)

// TargetRun identifies one run of a target, from its start to its end.
type TargetRun = bbplan.TargetRun

// CrashID is equal in all reports of one crash, whichever instance saw it.
type CrashID uint64

// Crash is the end of a target's run while a request was in flight there. The
// times are on the clock of the instance that holds it.
type Crash struct {
	ID       CrashID
	Run      TargetRun
	Instance bbunit.InstanceID // that saw it
	// SentAt is when the request was sent, BrokenAt when the target broke off.
	SentAt, BrokenAt time.Time
	// Excused means that the request had been answered at the instance shortly
	// before.
	Excused bool
	// Disproved means that the request was answered after the crash, or that the
	// target's run went on.
	Disproved bool
	// Counted means that the request is refused because of this crash and others.
	Counted bool
	// Doubted means that other targets crashed at about the same time, so that
	// more crashes are needed to refuse the request.
	Doubted bool
}

// newCrashID returns the id of the crash that ended a run, the same at every
// instance.
func newCrashID(run TargetRun) CrashID {
	h := xxhash.New()
	_, _ = h.WriteString(string(run.ID))
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(run.StartedAtMillis)))
	return CrashID(h.Sum64())
}

// newReportID returns the id of a crash of a run that is not known well enough
// to tell whether another report is about the same crash.
func newReportID(run TargetRun, instance bbunit.InstanceID, sentAt time.Time) CrashID {
	h := xxhash.New()
	_, _ = h.WriteString(string(run.ID))
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{1}, uint64(sentAt.UnixNano())))
	_, _ = h.WriteString(string(instance))
	return CrashID(h.Sum64())
}

// merge returns what two reports of one crash say together. The order does not
// matter. The earlier times are the better ones: each hop adds its delay.
func merge(a, b Crash) Crash {
	a.Instance = min(a.Instance, b.Instance)
	a.SentAt, a.BrokenAt = bbclock.Earlier(a.SentAt, b.SentAt), bbclock.Earlier(a.BrokenAt, b.BrokenAt)
	a.Excused = a.Excused && b.Excused
	a.Disproved = a.Disproved || b.Disproved
	a.Counted = a.Counted || b.Counted
	a.Doubted = a.Doubted || b.Doubted
	return a
}

// flags returns the part of a crash that changes, for digests.
func (c *Crash) flags() uint64 {
	var bits uint64
	for i, set := range []bool{c.Excused, c.Disproved, c.Counted, c.Doubted} {
		if set {
			bits |= 1 << i
		}
	}
	return bits
}

// Record holds the crashes during requests with one fingerprint, or with one part
// of their prompts. It is immutable: all changes return a new record.
type Record struct {
	Fingerprint uint64
	// Part is the id of the part, empty for the record of a request.
	Part    string
	Crashes []Crash // by id
	// AnswerTime is the longest time that a whole answer to a request with the part
	// took, 0 if none is known.
	AnswerTime time.Duration
}

// isPart reports whether this is the record of a part.
func (r *Record) isPart() bool { return r.Part != "" }

// maxCrashes returns how many crashes the record holds.
func (r *Record) maxCrashes() int {
	if r.isPart() {
		return maxPartCrashes
	}
	return maxCrashes
}

// replace returns the record with other crashes.
func (r Record) replace(crashes []Crash) Record {
	r.Crashes = crashes
	return r
}

// with returns the record with the crashes merged in.
func (r Record) with(crashes ...Crash) Record {
	merged := slices.Clone(r.Crashes)
	for _, c := range crashes {
		i, found := slices.BinarySearchFunc(merged, c.ID, func(c Crash, id CrashID) int { return cmp.Compare(c.ID, id) })
		if found {
			merged[i] = merge(merged[i], c)
		} else {
			merged = slices.Insert(merged, i, c)
		}
	}
	return r.replace(merged).newest(r.maxCrashes())
}

// newest returns the record with its newest crashes, at most n.
func (r Record) newest(n int) Record {
	if len(r.Crashes) <= n {
		return r
	}
	kept := slices.Clone(r.Crashes)
	slices.SortFunc(kept, func(a, b Crash) int { return cmp.Or(b.BrokenAt.Compare(a.BrokenAt), cmp.Compare(a.ID, b.ID)) })
	kept = kept[:n]
	slices.SortFunc(kept, func(a, b Crash) int { return cmp.Compare(a.ID, b.ID) })
	return r.replace(kept)
}

// change returns the record with each crash changed by fn.
func (r Record) change(fn func(c *Crash)) Record {
	crashes := slices.Clone(r.Crashes)
	for i := range crashes {
		fn(&crashes[i])
	}
	return r.replace(crashes)
}

// disprove returns the record with the crashes disproved that match.
func (r Record) disprove(matches func(c *Crash) bool) Record {
	return r.change(func(c *Crash) { c.Disproved = c.Disproved || matches(c) })
}

// doubt returns the record with the counted crashes doubted.
func (r Record) doubt() Record {
	return r.change(func(c *Crash) { c.Doubted = c.Doubted || c.Counted })
}

// digest returns a hash that is equal for records that say the same. Times are
// left out.
func (r Record) digest() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, r.Fingerprint)
	for i := range r.Crashes {
		b = binary.LittleEndian.AppendUint64(b, uint64(r.Crashes[i].ID))
		b = binary.LittleEndian.AppendUint64(b, r.Crashes[i].flags())
	}
	if r.isPart() {
		b = binary.LittleEndian.AppendUint64(b, uint64(r.AnswerTime))
	}
	return xxhash.Sum64(b)
}

// verdict returns the part of the record that all instances have to know: the
// crashes that count. It is empty if none does.
func (r Record) verdict() Record {
	return r.where(func(c *Crash) bool { return c.Counted })
}

// evidence returns the part of the record that only the homes of the fingerprint
// have to know.
func (r Record) evidence() Record {
	return r.where(func(c *Crash) bool { return !c.Counted })
}

// where returns the record with the crashes that match.
func (r Record) where(matches func(c *Crash) bool) Record {
	out := r.replace(nil)
	for i := range r.Crashes {
		if matches(&r.Crashes[i]) {
			out.Crashes = append(out.Crashes, r.Crashes[i])
		}
	}
	return out
}

// verdictDigest returns the digest of the verdict, 0 if there is none.
func (r Record) verdictDigest() uint64 {
	if !r.wasCounted() {
		return 0
	}
	return r.verdict().digest()
}

// lastCrashAt returns when the last crash was.
func (r Record) lastCrashAt() time.Time {
	var last time.Time
	for i := range r.Crashes {
		if r.Crashes[i].BrokenAt.After(last) {
			last = r.Crashes[i].BrokenAt
		}
	}
	return last
}

// endedBefore reports whether the crash is known and was before the time, so
// that one after it must be another.
func (r Record) endedBefore(id CrashID, at time.Time) bool {
	return r.number(func(c *Crash) bool { return c.ID == id && c.BrokenAt.Add(clockTolerance).Before(at) }) > 0
}
