package bbstand

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"bluebellport.example/shared/bbcli"
)

// Instance is an entry of the list of instances.
type Instance struct {
	ID      string `json:"id"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// State is "live" or "leaving".
	State string `json:"state"`
	// Since is when the entry was last changed, in milliseconds since the
	// epoch.
	Since int64 `json:"since"`
}

// ListFault is the body of POST /admin/fault of the list of instances. It
// replaces the faults in force. Silent makes the connections that are now open
// silent for good.
type ListFault struct {
	Down      bool `json:"down"`
	LatencyMS int  `json:"slowms"`
	LagMS     int  `json:"lagms"`
	Silent    bool `json:"silent"`
}

// States of an instance.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// instanceList is the list of instances. It keeps all changes, so that it can
// also answer with an outdated list.
type instanceList struct {
	mu      sync.Mutex
	changes []instanceChange
	fault   ListFault
}

type instanceChange struct {
	at      time.Time
	inst    Instance
	removed bool
}

// addChange adds or replaces an instance, or removes it if removed is set.
func (i *instanceList) addChange(inst Instance, removed bool, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	inst.Since = now.UnixMilli()
	i.changes = append(i.changes, instanceChange{at: now, inst: inst, removed: removed})
}

// listAt returns the list as it was at t, sorted by id.
func (i *instanceList) listAt(t time.Time) []Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	byID := map[string]Instance{}
	for _, change := range i.changes {
		switch {
		case change.at.After(t):
		case change.removed:
			delete(byID, change.inst.ID)
		default:
			byID[change.inst.ID] = change.inst
		}
	}
	list := make([]Instance, 0, len(byID))
	for _, inst := range byID {
		list = append(list, inst)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

func (i *instanceList) setFault(f ListFault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = f
}

func (i *instanceList) currentFault() ListFault {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fault
}

func (o *ListOptions) run(ctx context.Context, s streams) error { return serve(ctx, s, o.standIn()) }

func (o *ListOptions) standIn() standIn {
	list := &instanceList{fault: ListFault{LagMS: int(o.Lag.Milliseconds())}}
	return standIn{name: "list", addr: o.Listen, stop: func() {}, mount: func(app *fiber.App, l *listener) {
		app.Get("/v1/instances", list.get)
		app.Post("/v1/instances", list.post)
		app.Delete("/v1/instances/:id", func(c *fiber.Ctx) error {
			list.addChange(Instance{ID: c.Params("id")}, true, time.Now())
			return c.SendStatus(http.StatusNoContent)
		})
		app.Post("/admin/fault", func(c *fiber.Ctx) error {
			f := ListFault{LagMS: int(o.Lag.Milliseconds())}
			if err := decodeStrict(c, &f); err != nil {
				return err
			}
			if f.Silent {
				l.silenceConns(c.Context().Conn())
			}
			list.setFault(f)
			return c.JSON(f)
		})
	}}
}

func (i *instanceList) get(c *fiber.Ctx) error {
	f := i.currentFault()
	time.Sleep(time.Duration(f.LatencyMS) * time.Millisecond)
	if f.Down {
		return fiber.NewError(http.StatusServiceUnavailable, "down")
	}
	return c.JSON(i.listAt(time.Now().Add(-time.Duration(f.LagMS) * time.Millisecond)))
}

func (i *instanceList) post(c *fiber.Ctx) error {
	inst := Instance{State: stateLive}
	if err := decodeStrict(c, &inst); err != nil {
		return err
	}
	switch {
	case inst.ID == "":
		return fiber.NewError(http.StatusBadRequest, "id: must not be empty")
	case inst.Domain == "":
		return fiber.NewError(http.StatusBadRequest, "domain: must not be empty")
	case len(bbcli.CheckAddress("address", inst.Address)) > 0:
		return fiber.NewError(http.StatusBadRequest, bbcli.CheckAddress("address", inst.Address)[0])
	case inst.State != stateLive && inst.State != stateLeaving:
		return fiber.NewError(http.StatusBadRequest, "state: must be live or leaving")
	}
	i.addChange(inst, false, time.Now())
	return c.JSON(inst)
}
