package bbjournal

import "bluebellport.example/shared/bbwire"

// decide returns the verdict on r, given the existing record of its request
// (nil if there is none), and the record to keep from then on. A record that
// its owner repeats gets TAKEN again and changes nothing, so that the owner can
// resend it when an answer was lost.
func decide(existing, r *bbwire.Record) (bbwire.Verdict_Kind, *bbwire.Record) {
	if existing == nil {
		return decideNew(r)
	}
	switch r.Kind {
	case bbwire.Record_CLAIM:
		return decideClaim(existing, r), existing
	case bbwire.Record_BILL:
		return decideBill(existing, r)
	case bbwire.Record_UNKNOWN:
		return decideUnknown(existing, r)
	case bbwire.Record_WITHDRAWN:
		if existing.Kind == bbwire.Record_CLAIM && existing.Owner == r.Owner {
			return bbwire.Verdict_TAKEN, nil
		}
	}
	return bbwire.Verdict_CONFLICT, existing
}

func decideNew(r *bbwire.Record) (bbwire.Verdict_Kind, *bbwire.Record) {
	switch r.Kind {
	case bbwire.Record_CLAIM, bbwire.Record_BILL, bbwire.Record_UNKNOWN:
		return bbwire.Verdict_TAKEN, r
	}
	return bbwire.Verdict_TAKEN, nil
}

func decideClaim(existing, r *bbwire.Record) bbwire.Verdict_Kind {
	switch {
	case existing.Print != r.Print:
		return bbwire.Verdict_MISMATCH
	case existing.Kind == bbwire.Record_CLAIM && existing.Owner == r.Owner:
		return bbwire.Verdict_TAKEN
	}
	return bbwire.Verdict_CONFLICT
}

func decideBill(existing, r *bbwire.Record) (bbwire.Verdict_Kind, *bbwire.Record) {
	switch {
	case existing.Print != r.Print:
		return bbwire.Verdict_MISMATCH, existing
	case existing.Kind != bbwire.Record_BILL:
		return bbwire.Verdict_TAKEN, r
	case existing.Owner == r.Owner && existing.Amount == r.Amount:
		return bbwire.Verdict_TAKEN, existing
	}
	return bbwire.Verdict_REPEATED, existing
}

// decideUnknown accepts UNKNOWN only from the owner of the existing record. If
// that owner has already sent a bill, the bill stays and the verdict is TAKEN.
func decideUnknown(existing, r *bbwire.Record) (bbwire.Verdict_Kind, *bbwire.Record) {
	switch {
	case existing.Owner != r.Owner:
		return bbwire.Verdict_REPEATED, existing
	case existing.Kind == bbwire.Record_CLAIM:
		return bbwire.Verdict_TAKEN, r
	}
	return bbwire.Verdict_TAKEN, existing
}
