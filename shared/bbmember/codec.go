package bbmember

import (
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Encode returns the reports as they go over the wire. A failure domain that is
// the same as the first report's is left out.
func Encode(reports []Report) []*bbwire.Member {
	out := make([]*bbwire.Member, len(reports))
	for i, r := range reports {
		out[i] = &bbwire.Member{
			Instance: string(r.ID), Inc: uint64(r.Inc), Domain: string(r.Domain),
			Address: r.Address, Beat: r.Heartbeat, Leaving: r.Leaving,
		}
		if i > 0 && out[i].Domain == out[0].Domain {
			out[i].Domain = ""
		}
	}
	return out
}

// Decode returns the reports that came over the wire, unchecked.
func Decode(in []*bbwire.Member) []Report {
	out := make([]Report, len(in))
	for i, m := range in {
		out[i] = Report{
			Member: Member{
				ID: bbunit.InstanceID(m.GetInstance()), Inc: bbunit.Incarnation(m.GetInc()),
				Domain: bbunit.DomainID(m.GetDomain()), Address: m.GetAddress(), Leaving: m.GetLeaving(),
			},
			Heartbeat: m.GetBeat(),
		}
		if i > 0 && out[i].Domain == "" {
			out[i].Domain = out[0].Domain
		}
	}
	return out
}
