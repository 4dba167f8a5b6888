package bbshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// demandSmoothing is the weight of one second in the moving average of demand.
const demandSmoothing = 0.4

// Allocator holds an instance's shares of all accounts and decides which rows to
// write. It is not safe for concurrent use; only the Balance of an AccountShare
// is.
type Allocator struct {
	Holder    bbunit.HolderID
	policy    Policy
	keyPrefix string
	shares    map[bbunit.AccountID]*AccountShare
	// largestRequest is the largest recent request of any account, in tokens.
	largestRequest int64
	// draining means that grants are raised only for unmet requests.
	draining bool
	// usesHomes means that the accounts have homes.
	usesHomes bool
	// domainPeers are the other instances of the failure domain.
	domainPeers map[bbunit.InstanceID]bool
	eras        eraState
}

// NewAllocator returns an allocator without accounts. Its rows are stored under
// keyPrefix followed by the account id.
func NewAllocator(holder bbunit.HolderID, keyPrefix string, policy Policy) *Allocator {
	return &Allocator{Holder: holder, policy: policy, keyPrefix: keyPrefix, shares: map[bbunit.AccountID]*AccountShare{}}
}

// AccountShare is an instance's share of one account.
type AccountShare struct {
	ID      bbunit.AccountID
	Balance *Balance
	paid    bbunit.Tokens

	row       Row
	rev       bbstore.Revision
	rowLoaded bool
	// granted is what this instance may rely on. It can be below the row's grant
	// while a write that returns tokens is pending.
	granted bbunit.Tokens
	// remoteHome means that another instance is the home and can be reached.
	// homeFree is the free amount that it last reported, if homeAsked.
	remoteHome, homeAsked bool
	homeFree              bbunit.Tokens
	// homeUnreachable means that another instance is the home and cannot be reached.
	homeUnreachable bool
	// lent is the sum of the loans made by this incarnation.
	lent bbunit.Tokens
	// borrowers is what the instances that borrow here have reported, lenders the same of
	// those that were asked for loans.
	borrowers borrowers
	lenders   lenderWords
	// prefetchLimit is the available amount up to which the home last lent for future
	// requests, 0 if it did not limit the loan. It holds for prefetchTicks.
	prefetchLimit bbunit.Tokens
	prefetchTicks int
	// surplus is what a share with a remote home gives back with the next write.
	surplus bbunit.Tokens
	// offer is what a share with a remote home has for the home to collect.
	offer bbunit.Tokens
	// refresh means that the row is written unchanged if nothing else is to change, to
	// learn its present state.
	refresh bool

	fenced         bool // a later incarnation or Close has closed this holder
	uncertain      uncertainWrites
	reassert       bool    // the store's row lacks what this holder knows
	demand         float64 // moving average of requested tokens per second
	lastRequested  int64   // Balance.requested at measuredAt
	measuredAt     time.Time
	largestRequest int64
}

// Account returns the share of an account and creates it if necessary.
func (a *Allocator) Account(id bbunit.AccountID) *AccountShare {
	s := a.shares[id]
	if s == nil {
		s = &AccountShare{ID: id, Balance: &Balance{}}
		a.shares[id] = s
	}
	return s
}

// SetPaid sets the total that an account has paid.
func (a *Allocator) SetPaid(id bbunit.AccountID, paid bbunit.Tokens) { a.Account(id).paid = paid }

// Remaining returns what no holder has been granted, according to the last known row.
func (s *AccountShare) Remaining() bbunit.Tokens { return s.paid - s.row.TotalGranted() }

// Refresh makes the next write learn the present state of the account's row.
func (s *AccountShare) Refresh() { s.refresh = true }

// RowLoaded reports whether the account's row has been read.
func (s *AccountShare) RowLoaded() bool { return s.rowLoaded }

// Covers reports whether the account may still be able to pay for n: the free
// tokens, those available here, and those that other holders may give back add up
// to at least n.
func (s *AccountShare) Covers(n bbunit.Tokens, holder bbunit.HolderID) bool {
	return s.Remaining()+s.Balance.Available()+s.UnspentByOthers(holder) >= n
}

// ApplyRows updates the shares from rows read from the store. It skips malformed
// rows; rowErrs has an error for each, annotated with the row's key.
func (a *Allocator) ApplyRows(entries []bbstore.Entry) (rowErrs []error) {
	for _, e := range entries {
		if len(e.Key) <= len(a.keyPrefix) || e.Key[:len(a.keyPrefix)] != a.keyPrefix {
			continue
		}
		s := a.Account(bbunit.AccountID(e.Key[len(a.keyPrefix):]))
		if err := a.applyRow(s, e); err != nil {
			rowErrs = append(rowErrs, errors.Annotate(err, e.Key))
		}
	}
	return rowErrs
}

func (a *Allocator) applyRow(s *AccountShare, e bbstore.Entry) error {
	if e.Rev != 0 {
		a.SetEra(e.Rev.Era())
	}
	setBack := a.wasSetBack(s, e)
	if a.isOld(e) || s.rowLoaded && e.Rev < s.rev && !setBack {
		return nil // older than the last known row
	}
	row, err := ParseRow(e.Value)
	if err != nil {
		return err
	}
	if e.Rev != 0 && row.SettledIn != a.eras.era {
		a.settle()
	}
	if setBack {
		a.applySetBack(s, row, e.Rev)
		return nil
	}
	_, hadGrant := s.row.Holders[a.Holder]
	if e.Rev != s.rev {
		s.settleUncertain(row, hadGrant, a.Holder)
	}
	s.row, s.rev, s.rowLoaded, s.refresh = row, e.Rev, true, false
	if !s.fenced {
		s.setGranted(s.uncertain.limit(row.Holders[a.Holder].Granted))
	}
	return nil
}

// settleUncertain is called as a row has moved on, so that no write over its former
// revision can take effect any more. A row without this holder means that a later
// incarnation has closed it, unless the holder's first write never took effect.
func (s *AccountShare) settleUncertain(row Row, hadGrant bool, holder bbunit.HolderID) {
	wasUncertain := s.uncertain.any
	s.uncertain = uncertainWrites{}
	if _, hasGrant := row.Holders[holder]; hasGrant {
		return
	}
	switch {
	case hadGrant && s.granted != 0, wasUncertain && s.granted > 0:
		s.fenced = true
	case wasUncertain:
		// Borrowed tokens that a first write gave back. It may have taken effect, so
		// they are not used again.
		s.granted = 0
	}
}

// setGranted sets this instance's grant.
func (s *AccountShare) setGranted(granted bbunit.Tokens) {
	s.Balance.available.Add(int64(granted - s.granted))
	s.granted = granted
}

// Tick measures demand. It is meant to be called about once a second.
func (a *Allocator) Tick(now time.Time) {
	a.eras.tick(now)
	a.largestRequest = a.largestRequest * 95 / 100
	for _, s := range a.shares {
		s.measureDemand(now)
		s.borrowers.tick()
		s.lenders.tick(s.row)
		if s.prefetchTicks--; s.prefetchTicks <= 0 {
			s.prefetchLimit = 0
		}
		a.largestRequest = max(a.largestRequest, s.largestRequest)
	}
}

func (s *AccountShare) measureDemand(now time.Time) {
	requested := s.Balance.requested.Load()
	if elapsed := now.Sub(s.measuredAt).Seconds(); !s.measuredAt.IsZero() && elapsed > 0 {
		weight := min(demandSmoothing*elapsed, 1)
		s.demand += weight * (float64(requested-s.lastRequested)/elapsed - s.demand)
	}
	s.lastRequested, s.measuredAt = requested, now
	s.largestRequest = max(s.Balance.largestRequest.Swap(0), s.largestRequest*9/10)
}

// Status is the state of one account at this instance.
type Status struct {
	Account   bbunit.AccountID `json:"account"`
	Paid      bbunit.Tokens    `json:"paid"`
	Free      bbunit.Tokens    `json:"free"`
	Available bbunit.Tokens    `json:"here"` // available to reserve at this instance
	Spent     bbunit.Tokens    `json:"spent"`
	Rate      bbunit.Tokens    `json:"rate"` // requested at this instance, per second
	Lent      bbunit.Tokens    `json:"lent,omitempty"`
	Granted   bbunit.Tokens    `json:"granted"`
	Closed    bbunit.Tokens    `json:"closed"` // of holders that have ended
	// Served is the demand per second of the failure domain, Borrowed what its other
	// instances are estimated to have, if this instance is its home.
	Served   bbunit.Tokens `json:"served,omitempty"`
	Borrowed bbunit.Tokens `json:"borrowed,omitempty"`
	// Lost is what killed holders may have had left.
	Lost bbunit.Tokens `json:"lost,omitempty"`
	// Unheard and BrokenOff are the parts of Spent by requests of whose answer nothing was
	// delivered, and by those whose answer broke off.
	Unheard   bbunit.Tokens `json:"unheard,omitempty"`
	BrokenOff bbunit.Tokens `json:"broken-off,omitempty"`
	// Reserved is what requests in flight have set aside here.
	Reserved bbunit.Tokens `json:"reserved,omitempty"`
}

// Status returns the state of all accounts, sorted by account id.
func (a *Allocator) Status() []Status {
	out := make([]Status, 0, len(a.shares))
	for _, s := range a.shares {
		out = append(out, Status{
			Account: s.ID, Paid: s.paid, Free: s.Remaining(), Available: s.Balance.Available(),
			Spent: bbunit.Tokens(s.Balance.spent.Load()), Rate: bbunit.Tokens(s.demand),
			Lent: s.lent, Granted: s.granted, Closed: s.row.Closed, Lost: s.row.Lost,
			Served: bbunit.Tokens(s.borrowers.rate()), Borrowed: bbunit.Tokens(s.borrowers.held()),
			Unheard: bbunit.Tokens(s.Balance.unheard.Load()), BrokenOff: bbunit.Tokens(s.Balance.brokenOff.Load()),
			Reserved: max(s.granted-s.Balance.Available()-bbunit.Tokens(s.Balance.spent.Load()), 0),
		})
	}
	slices.SortFunc(out, func(x, y Status) int { return cmp.Compare(x.Account, y.Account) })
	return out
}
