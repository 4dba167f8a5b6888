package bbunit

// Status is the status of an instance, as shown to operators.
type Status struct {
	Instance InstanceID   `json:"instance"`
	Domain   DomainID     `json:"domain"`
	Version  string       `json:"version"`
	Number   TicketNumber `json:"number"` // number of the last change ticket in force
	Ready    bool         `json:"ready"`
	Draining bool         `json:"draining"`
	Open     int64        `json:"open"` // requests whose answer is not complete
	Members  []InstanceID `json:"members"`
	// Parts holds the status of each controller, by the controller's name.
	Parts map[string]any `json:"parts,omitempty"`
}
