package bbport

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// TestRequestBesideATicketIsAnswered guards against a request that gets neither an answer
// nor a refusal, as a ticket changes its key, service or target meanwhile.
func TestRequestBesideATicketIsAnswered(t *testing.T) {
	cases := []struct {
		name     string
		change   func(full *bbticket.State, ticket *bbticket.Ticket)
		statuses map[int]bool // beside 200
	}{
		{"keys", func(full *bbticket.State, ticket *bbticket.Ticket) {
			account := full.Accounts["norra"].Object
			account.Keys = nil
			ticket.Accounts = []bbticket.Account{account}
		}, map[int]bool{http.StatusUnauthorized: true}},
		{"services", func(full *bbticket.State, ticket *bbticket.Ticket) {
			service := full.Services["desk"].Object
			service.Accounts = []bbunit.AccountID{"poor"}
			ticket.Services = []bbticket.Service{service}
		}, map[int]bool{http.StatusForbidden: true, http.StatusNotFound: true}},
		{"price", func(full *bbticket.State, ticket *bbticket.Ticket) {
			service := full.Services["desk"].Object
			service.Price.Call = 20
			ticket.Services = []bbticket.Service{service}
		}, nil},
		{"targets", func(full *bbticket.State, ticket *bbticket.Ticket) {
			target := full.Targets["desk-0"].Object
			target.Service = "chat"
			ticket.Targets = []bbticket.Target{target}
		}, map[int]bool{http.StatusServiceUnavailable: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newTestFrontend(t, workingTarget(80*time.Millisecond))
			full := f.deps.Board.State.Load()
			begin, length := time.Now(), 2*time.Second
			var mu sync.Mutex
			counts := map[int]int{}
			var wg sync.WaitGroup
			for i := range 8 {
				wg.Go(func() {
					for n := 0; time.Since(begin) < length; n++ {
						resp, body := f.do(t, "POST", "/services/desk/x", "body", "Idempotency-Key", fmt.Sprint(i, "-", n))
						mu.Lock()
						counts[resp.StatusCode]++
						mu.Unlock()
						if resp.StatusCode == http.StatusOK {
							is.Equal(body, "whole")
							continue
						}
						is.True(c.statuses[resp.StatusCode]) // a refusal that the change explains
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			for number := bbunit.TicketNumber(2); time.Since(begin) < length; number++ {
				next := full
				if number%2 == 0 {
					ticket := bbticket.Ticket{Number: number}
					c.change(full, &ticket)
					next = full.Apply(ticket)
				}
				f.deps.Board.State.Store(next)
				time.Sleep(50 * time.Millisecond)
			}
			wg.Wait()
			f.deps.Board.State.Store(full)
			t.Log(counts)
			is.True(counts[http.StatusOK] > 20)
		})
	}
}
