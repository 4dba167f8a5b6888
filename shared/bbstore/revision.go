package bbstore

import "math"

// Era counts how often the service came back from an older copy of its data. In
// a new era revisions go back and are given out again.
type Era int64

// eraBits is the number of bits of a Revision that hold its counter. The bits
// above hold the era, so that revisions of a later era are the newer ones.
const eraBits = 44

// Revision numbers the writes of the whole service in order, over all its eras; 0
// stands for an absent key.
type Revision int64

// NoRevision is a revision that no key ever has.
const NoRevision Revision = math.MaxInt64

// NewRevision returns the revision of a counter in an era. The counter must be
// below 1<<44. Counter 0 is the revision 0 in each era.
func NewRevision(era Era, counter int64) Revision {
	if counter == 0 {
		return 0
	}
	return Revision(int64(era)<<eraBits | counter)
}

// Era returns the era in which the revision was read.
func (r Revision) Era() Era { return Era(r >> eraBits) }

// Counter returns the service's own number of the revision in its era.
func (r Revision) Counter() int64 { return int64(r) & (1<<eraBits - 1) }
