package bbport

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// TestRefusalReportsAnEarlierOutcome checks that a refused copy is not reported
// as not run when an earlier copy ran.
func TestRefusalReportsAnEarlierOutcome(t *testing.T) {
	is := is.New(t)
	b := newTestFrontend(t, func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) })
	key := []string{"Idempotency-Key", "k", "X-Request-Deadline-Ms", "500"}
	resp, body := b.do(t, "POST", "/v1/chat/completions", plainChat, key...)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.True(strings.Contains(body, `"outcome":"failed"`))
	b.budgets.available = 0
	resp, body = b.do(t, "POST", "/v1/chat/completions", plainChat, key...)
	is.Equal(resp.StatusCode, http.StatusPaymentRequired)
	is.True(strings.Contains(body, `"outcome":"failed"`)) // must not be not-run
	b.deps.Board.Draining.Store(true)
	_, body = b.do(t, "POST", "/v1/chat/completions", plainChat, key...)
	is.True(strings.Contains(body, `"outcome":"failed"`))
	_, body = b.do(t, "POST", "/v1/chat/completions", plainChat, "Idempotency-Key", "other")
	is.True(strings.Contains(body, `"outcome":"not-run"`))
}

// copyQueryBus answers queries about copies with fixed outcomes. An instance
// without one is unreachable.
type copyQueryBus struct{ outcomes map[bbunit.InstanceID]*string }

func (b copyQueryBus) Send(bbunit.InstanceID, *bbwire.Envelope) error { return nil }

func (b copyQueryBus) Call(_ context.Context, to bbunit.InstanceID, _ *bbwire.Envelope) (*bbwire.Envelope, error) {
	if b.outcomes[to] == nil {
		return nil, ErrPeerUnreachable
	}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Seentell{Seentell: &bbwire.SeenTell{Outcome: *b.outcomes[to]}}}, nil
}

func (b copyQueryBus) Handle(*bbwire.Envelope, func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {
}

// TestCopyFinder checks the outcome that is reported for a request that is
// refused at this instance.
func TestCopyFinder(t *testing.T) {
	outcome := func(s string) *string { return &s }
	for name, c := range map[string]struct {
		clientChosenID bool
		remote         *string // the other instance's answer; nil if it is unreachable
		record         *bbwire.Record
		down           bool
		want           bbunit.Outcome
	}{
		"generated-id":     {false, nil, nil, true, bbunit.OutcomeNotRun},
		"no-copy-known":    {true, outcome(""), nil, false, bbunit.OutcomeNotRun},
		"home-unreachable": {true, nil, nil, false, bbunit.OutcomeUnknown},
		"store-down":       {true, outcome(""), nil, true, bbunit.OutcomeUnknown},
		"runs-elsewhere":   {true, outcome("unknown"), nil, false, bbunit.OutcomeUnknown},
		"done-elsewhere":   {true, outcome("done"), nil, false, bbunit.OutcomeUnknown},
		"failed-elsewhere": {true, outcome("failed"), nil, false, bbunit.OutcomeFailed},
		"billed":           {true, outcome(""), &bbwire.Record{Kind: bbwire.Record_BILL, Account: "a", Request: "r", Owner: "x#1/1"}, false, bbunit.OutcomeUnknown},
		"own-claim":        {true, outcome(""), &bbwire.Record{Kind: bbwire.Record_CLAIM, Account: "a", Request: "r", Owner: "me#1/1"}, false, bbunit.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			mem := bbstore.NewMem()
			if c.record != nil {
				writeLeaf(t, mem, c.record)
			}
			mem.SetFaults(bbstore.Faults{Down: c.down})
			self, other := bbmember.Member{ID: "me", Domain: "d1"}, bbmember.Member{ID: "it", Domain: "d2"}
			deps := Deps{Board: NewBoard(self), Store: mem, Bus: copyQueryBus{map[bbunit.InstanceID]*string{"it": c.remote}}}
			deps.Board.View.Store(&bbmember.View{Self: self, Members: []bbmember.Member{self, other}})
			opts := RecordOptions{}
			finder := newCopyFinder(deps, NewDeduplicator(&opts, nil))
			req := &clientRequest{id: "r", clientChosenID: c.clientChosenID}
			req.account.ID = "a"
			is.Equal(finder.outcome(context.Background(), req, "me#1/1"), c.want)
		})
	}
}

// writeLeaf stores a leaf with the record.
func writeLeaf(t *testing.T, mem *bbstore.Mem, r *bbwire.Record) {
	t.Helper()
	v, err := proto.Marshal(&bbwire.Leaf{Records: []*bbwire.Record{r}})
	if err != nil {
		t.Fatal(err)
	}
	key := bbjournal.PartitionOf(r.Account, r.Request).Prefix() + "1"
	if _, err := mem.CAS(context.Background(), key, v, 0, 0); err != nil {
		t.Fatal(err)
	}
}
