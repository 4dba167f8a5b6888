package bbmember

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbunit"
)

// ErrInvalidList means that the platform's list of instances, or one entry of
// it, is malformed.
const ErrInvalidList = errors.ConstError("bad list of instances")

// listEntryJSON is the wire form of a ListEntry.
type listEntryJSON struct {
	ID      bbunit.InstanceID `json:"id"`
	Domain  bbunit.DomainID   `json:"domain"`
	Address string            `json:"address"`
	State   string            `json:"state"`
	Since   json.RawMessage   `json:"since"`
}

// ParseList parses the platform's list of instances, a JSON array. It ignores
// unknown fields. It skips invalid entries and returns an error for each in
// bad; err is set only if the list as a whole could not be parsed. All errors
// are ErrInvalidList.
func ParseList(body []byte) (list []ListEntry, bad []error, err error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, nil, errors.WithType(err, ErrInvalidList)
	}
	if raw == nil {
		return nil, nil, errors.WithType(errors.New("list of instances is null, not an array"), ErrInvalidList)
	}
	seen := make(map[bbunit.InstanceID]bool, len(raw))
	for i, r := range raw {
		l, err := parseListEntry(r)
		if err == nil && seen[l.ID] {
			err = errors.Errorf("duplicate id %q", l.ID)
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
	var entry listEntryJSON
	if err := json.Unmarshal(r, &entry); err != nil {
		return ListEntry{}, err
	}
	since, err := parseSince(entry.Since)
	switch {
	case err != nil:
		return ListEntry{}, err
	case !validIDs(entry.ID, entry.Domain):
		return ListEntry{}, errors.Errorf("id %.40q or domain %.40q is empty or too long", entry.ID, entry.Domain)
	case !ValidAddress(entry.Address):
		return ListEntry{}, errors.Errorf("address %.40q is not an IP address and port", entry.Address)
	case entry.State != "live" && entry.State != "leaving":
		return ListEntry{}, errors.Errorf("state %.40q is neither live nor leaving", entry.State)
	}
	return ListEntry{ID: entry.ID, Domain: entry.Domain, Address: entry.Address, Leaving: entry.State == "leaving", Since: since}, nil
}

// parseSince parses an RFC 3339 time or a number of milliseconds since the
// epoch and returns milliseconds since the epoch, or 0 if r is absent or null.
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
		return 0, errors.Errorf("since %.40s is neither an RFC 3339 time nor milliseconds", r)
	}
	return at.UnixMilli(), nil
}
