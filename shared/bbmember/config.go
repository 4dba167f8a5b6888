package bbmember

import "time"

// Config bounds what one instance knows and sends.
type Config struct {
	// Period is the time between two rounds of gossip.
	Period time.Duration
	// Suspicion is the silence after which a member that can't be reached
	// either is taken out of the view.
	Suspicion time.Duration
	// Forget is the silence after which an unlisted member is dropped.
	Forget time.Duration
	// Fanout is how many members of the own failure domain hear each round;
	// one of another failure domain hears it too.
	Fanout int
	// Far is how many members of other failure domains the rounds choose from,
	// so that few sessions leave the domain. One of them is drawn anew every
	// Redraw rounds.
	Far, Redraw int
	// DomainMax and SampleMax bound the reports of a message that are of the
	// own failure domain and of the others.
	DomainMax, SampleMax int
}

// DefaultConfig returns the bounds for a period and a time of suspicion.
func DefaultConfig(period, suspicion time.Duration) Config {
	return Config{
		Period: period, Suspicion: suspicion, Forget: 12 * suspicion,
		Fanout: 2, Far: 2, Redraw: 15, DomainMax: 16, SampleMax: 4,
	}
}
