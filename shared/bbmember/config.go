package bbmember

import "time"

// Config holds the gossip timeouts and the limits on what one instance sends.
type Config struct {
	// Period is the time between two gossip rounds.
	Period time.Duration
	// SuspicionTimeout is how long a member may be silent before a failed
	// connection removes it from the view.
	SuspicionTimeout time.Duration
	// ForgetTimeout is how long a member may be silent before it is dropped,
	// or, while it is in the instance list, before its incarnation is
	// forgotten.
	ForgetTimeout time.Duration
	// Fanout is how many members of the instance's own failure domain receive
	// gossip each round. One member of another failure domain receives it too.
	Fanout int
	// RemotePartners is the size of the set from which each round picks its
	// member of another failure domain. A small set keeps the number of
	// cross-domain sessions low. One partner is replaced every RotationRounds
	// rounds.
	RemotePartners, RotationRounds int
	// MaxDomainReports and MaxSampleReports limit how many reports of one
	// message are about the own failure domain and about a sample of all
	// others. Leave notifies at most that many members of each kind.
	MaxDomainReports, MaxSampleReports int
}

// DefaultConfig returns the configuration for the given gossip period and
// suspicion timeout.
func DefaultConfig(period, suspicion time.Duration) Config {
	return Config{
		Period: period, SuspicionTimeout: suspicion, ForgetTimeout: 12 * suspicion,
		Fanout: 2, RemotePartners: 2, RotationRounds: 15, MaxDomainReports: 16, MaxSampleReports: 4,
	}
}
