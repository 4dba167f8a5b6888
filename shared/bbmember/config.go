package bbmember

import "time"

// Config bounds what one instance knows and sends.
type Config struct {
	// Period is the time between two rounds of gossip.
	Period time.Duration
	// SuspicionTimeout is the silence after which a member that can't be reached
	// either is taken out of the view.
	SuspicionTimeout time.Duration
	// ForgetTimeout is the silence after which an unlisted member is dropped.
	ForgetTimeout time.Duration
	// Fanout is how many members of the own failure domain hear each round;
	// one of another failure domain hears it too.
	Fanout int
	// RemotePartners is how many members of other failure domains the rounds choose from,
	// so that few sessions leave the domain. One of them is drawn anew every
	// Redraw rounds.
	RemotePartners, RotationRounds int
	// MaxDomainReports and SampleMax bound the reports of a message that are of the
	// own failure domain and of the others.
	MaxDomainReports, MaxSampleReports int
}

// DefaultConfig returns the bounds for a period and a time of suspicion.
func DefaultConfig(period, suspicion time.Duration) Config {
	return Config{
		Period: period, SuspicionTimeout: suspicion, ForgetTimeout: 12 * suspicion,
		Fanout: 2, RemotePartners: 2, RotationRounds: 15, MaxDomainReports: 16, MaxSampleReports: 4,
	}
}
