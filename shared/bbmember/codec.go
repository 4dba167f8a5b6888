package bbmember

import (
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Encode converts reports to protobuf messages. A report whose failure domain
// equals that of the first report leaves the domain empty to save bytes.
func Encode(reports []Report) []*bbwire.Member {
	out := make([]*bbwire.Member, len(reports))
	for i, r := range reports {
		out[i] = &bbwire.Member{
			Instance: string(r.ID), Inc: uint64(r.Inc), Domain: string(r.Domain),
			Address: r.Address, Beat: r.Heartbeat, Leaving: r.Leaving, Link: r.LinkMbps, Crowded: r.Crowded,
		}
		if i > 0 && out[i].Domain == out[0].Domain {
			out[i].Domain = ""
		}
	}
	return out
}

// Decode converts protobuf messages to reports and fills in the failure domains
// that Encode left empty. It does not validate them; HandleGossip does.
func Decode(in []*bbwire.Member) []Report {
	out := make([]Report, len(in))
	for i, m := range in {
		out[i] = Report{
			Member: Member{
				ID: bbunit.InstanceID(m.GetInstance()), Inc: bbunit.Incarnation(m.GetInc()),
				Domain: bbunit.DomainID(m.GetDomain()), Address: m.GetAddress(), Leaving: m.GetLeaving(), LinkMbps: m.GetLink(), Crowded: m.GetCrowded(),
			},
			Heartbeat: m.GetBeat(),
		}
		if i > 0 && out[i].Domain == "" {
			out[i].Domain = out[0].Domain
		}
	}
	return out
}
