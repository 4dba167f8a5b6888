package bbplace

import "bluebellport.example/shared/bbunit"

// Holding is what a request takes at a target, and how much there may be of it.
type Holding struct {
	// Memory is the size of an engine's memory for prompts and outputs, 0 if it is not
	// known. Size is what the request needs of it, Own the part of it that it shares with
	// no other request.
	Memory, Size, Own bbunit.Tokens
	// Body is the size of the request's body, MaxBodies the most that this instance may
	// hold in bodies for one target; 0 if bodies are not counted.
	Body, MaxBodies int64
}

// Hold counts what a request takes at the target until Release.
func (s *TargetState) Hold(h *Holding) {
	s.heldTokens.Add(int64(h.Own))
	s.heldBodies.Add(h.Body)
}

// Release ends what Hold has counted.
func (s *TargetState) Release(h *Holding) {
	s.heldTokens.Add(-int64(h.Own))
	s.heldBodies.Add(-h.Body)
}

// HeldBodies returns how many bytes of bodies this instance holds for the target.
func (s *TargetState) HeldBodies() int64 { return s.heldBodies.Load() }

// fits reports whether a target may hold the request. One whose body is alone there may be of
// any size.
func (h *Holding) fits(t *Target) bool {
	if h.MaxBodies > 0 && h.Body > 0 {
		if held := t.State.heldBodies.Load(); held > 0 && held+h.Body > h.MaxBodies {
			return false
		}
	}
	return h.FitsAny()
}

// overfills reports whether a target's memory is not large enough for the request beside what it
// holds, of which so many requests are others'. Outputs are mostly shorter than they may be, so
// such a target is passed over only where another has room.
func (h *Holding) overfills(t *Target, others float64) bool {
	if h.Memory <= 0 {
		return false
	}
	held := float64(t.State.heldTokens.Load()) + others*float64(h.Own)
	return held > 0 && held+float64(h.Own) > float64(h.Memory)
}

// FitsAny reports whether a target could hold the request at all.
func (h *Holding) FitsAny() bool { return h == nil || h.Memory <= 0 || h.Size <= h.Memory }
