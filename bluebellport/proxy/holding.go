package bbproxy

import (
	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbunit"
)

// maxBodiesDivisor divides the memory for bodies of requests: one target may hold such a part,
// so that one that reads slowly leaves room for the requests to all others.
const maxBodiesDivisor = 4

// holding returns what a request with so many shared tokens takes at a target: its body, as far as that counts towards
// the memory for bodies, and its tokens. A prefix that it shares with other requests is in the
// target's memory once, so it counts only towards the size.
func (x *exchange) holding(shared bbunit.Tokens) bbplace.Holding {
	var h bbplace.Holding
	if size := int64(len(x.req.Body)); size > freeBuffer {
		h.Body, h.MaxBodies = size, x.proxy.requestMemory.limit/maxBodiesDivisor
	}
	if !x.terms.isGeneration || !x.req.HasUsage || !x.plan.IsEngine(x.service) {
		return h
	}
	h.Memory = x.plan.Services[x.service].Engine.CacheTokens
	h.Size = min(x.req.PromptTokens, maxHeldTokens) + min(x.req.OutputTokens, maxHeldTokens)
	h.Own = max(h.Size-shared, 0)
	return h
}

// maxHeldTokens is the most tokens of a prompt or an output that count; requests may state any
// number.
const maxHeldTokens = 1 << 30
