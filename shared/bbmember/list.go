package bbmember

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbunit"
)

// ErrInvalidList marks an answer of the platform's list, or an entry, that can't be
// read.
const ErrInvalidList = errors.ConstError("bad list of instances")

// listEntryJSON is one entry as the platform sends it.
type listEntryJSON struct {
	ID      bbunit.InstanceID `json:"id"`
	Domain  bbunit.DomainID   `json:"domain"`
	Address string            `json:"address"`
	State   string            `json:"state"`
	Since   json.RawMessage   `json:"since"`
}

// ParseList reads the platform's list. Unknown fields are ignored. A bad entry
// is left out and named in bad; the error means that nothing could be read.
func ParseList(body []byte) (list []ListEntry, bad []error, err error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, nil, errors.WithType(err, ErrInvalidList)
	}
	if raw == nil {
		return nil, nil, errors.WithType(errors.New("not a list"), ErrInvalidList)
	}
	seen := make(map[bbunit.InstanceID]bool, len(raw))
	for i, r := range raw {
		l, err := parseListEntry(r)
		if err == nil && seen[l.ID] {
			err = errors.Errorf("%q comes twice", l.ID)
		}
		if err != nil {
			bad = append(bad, errors.WithType(errors.Annotatef(err, "entry %d", i), ErrInvalidList))
			continue
		}
		seen[l.ID] = true
		list = append(list, l)
	}
	return list, bad, nil
}

func parseListEntry(r json.RawMessage) (ListEntry, error) {
	var j listEntryJSON
	if err := json.Unmarshal(r, &j); err != nil {
		return ListEntry{}, err
	}
	since, err := parseSince(j.Since)
	switch {
	case err != nil:
		return ListEntry{}, err
	case !validIDs(j.ID, j.Domain):
		return ListEntry{}, errors.Errorf("id %.40q, domain %.40q", j.ID, j.Domain)
	case !ValidAddress(j.Address):
		return ListEntry{}, errors.Errorf("address %.40q is not an IP number and port", j.Address)
	case j.State != "live" && j.State != "leaving":
		return ListEntry{}, errors.Errorf("state %.40q", j.State)
	}
	return ListEntry{ID: j.ID, Domain: j.Domain, Address: j.Address, Leaving: j.State == "leaving", Since: since}, nil
}

// parseSince reads a time of RFC 3339 or a number of milliseconds since the
// epoch; 0 when absent.
func parseSince(r json.RawMessage) (int64, error) {
	if len(r) == 0 || string(r) == "null" {
		return 0, nil
	}
	var ms int64
	if err := json.Unmarshal(r, &ms); err == nil {
		return ms, nil
	}
	var at time.Time
	if err := json.Unmarshal(r, &at); err != nil {
		return 0, errors.Errorf("since %.40s", r)
	}
	return at.UnixMilli(), nil
}
