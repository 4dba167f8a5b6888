package bbunit

// Status is what an instance tells operators of itself.
type Status struct {
	Instance InstanceID   `json:"instance"`
	Domain   DomainID     `json:"domain"`
	Version  string       `json:"version"`
	Number   TicketNumber `json:"number"` // the last ticket in force
	Ready    bool         `json:"ready"`
	Draining bool         `json:"draining"`
	Open     int64        `json:"open"` // requests whose answer has not ended
	Members  []InstanceID `json:"members"`
	// Parts holds what the controllers tell, by their names.
	Parts map[string]any `json:"parts,omitempty"`
}
