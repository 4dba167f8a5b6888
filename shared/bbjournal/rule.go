package bbjournal

import "bluebellport.example/shared/bbwire"

// decide returns what becomes of r when s stands (nil: nothing does), and what
// stands afterwards. An owner's repeated record changes nothing and is taken
// again, so that a lost answer is resolved by sending the record once more.
func decide(s, r *bbwire.Record) (bbwire.Verdict_Kind, *bbwire.Record) {
	if s == nil {
		return decideNew(r)
	}
	switch r.Kind {
	case bbwire.Record_CLAIM:
		return decideClaim(s, r), s
	case bbwire.Record_BILL:
		return decideBill(s, r)
	case bbwire.Record_UNKNOWN:
		return decideUnknown(s, r)
	case bbwire.Record_WITHDRAWN:
		if s.Kind == bbwire.Record_CLAIM && s.Owner == r.Owner {
			return bbwire.Verdict_TAKEN, nil
		}
	}
	return bbwire.Verdict_CONFLICT, s
}

func decideNew(r *bbwire.Record) (bbwire.Verdict_Kind, *bbwire.Record) {
	switch r.Kind {
	case bbwire.Record_CLAIM, bbwire.Record_BILL, bbwire.Record_UNKNOWN:
		return bbwire.Verdict_TAKEN, r
	}
	return bbwire.Verdict_TAKEN, nil
}

func decideClaim(s, r *bbwire.Record) bbwire.Verdict_Kind {
	switch {
	case s.Print != r.Print:
		return bbwire.Verdict_MISMATCH
	case s.Kind == bbwire.Record_CLAIM && s.Owner == r.Owner:
		return bbwire.Verdict_TAKEN
	}
	return bbwire.Verdict_CONFLICT
}

func decideBill(s, r *bbwire.Record) (bbwire.Verdict_Kind, *bbwire.Record) {
	switch {
	case s.Print != r.Print:
		return bbwire.Verdict_MISMATCH, s
	case s.Kind != bbwire.Record_BILL:
		return bbwire.Verdict_TAKEN, r
	case s.Owner == r.Owner && s.Amount == r.Amount:
		return bbwire.Verdict_TAKEN, s
	}
	return bbwire.Verdict_REPEATED, s
}

// decideUnknown takes UNKNOWN only from the owner that stands; its own bill goes
// before it and is not a repetition.
func decideUnknown(s, r *bbwire.Record) (bbwire.Verdict_Kind, *bbwire.Record) {
	switch {
	case s.Owner != r.Owner:
		return bbwire.Verdict_REPEATED, s
	case s.Kind == bbwire.Record_CLAIM:
		return bbwire.Verdict_TAKEN, r
	}
	return bbwire.Verdict_TAKEN, s
}
