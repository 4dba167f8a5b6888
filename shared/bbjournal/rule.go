package bbjournal

import "bluebellport.example/shared/bbwire"

// decide returns what becomes of r when s stands (nil: nothing does), and what
// stands afterwards. An owner's repeated record changes nothing and is taken
// again, so that a lost answer is resolved by sending the record once more.
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

// decideUnknown takes UNKNOWN only from the owner that stands; its own bill goes
// before it and is not a repetition.
func decideUnknown(existing, r *bbwire.Record) (bbwire.Verdict_Kind, *bbwire.Record) {
	switch {
	case existing.Owner != r.Owner:
		return bbwire.Verdict_REPEATED, existing
	case existing.Kind == bbwire.Record_CLAIM:
		return bbwire.Verdict_TAKEN, r
	}
	return bbwire.Verdict_TAKEN, existing
}
