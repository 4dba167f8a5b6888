// Package bbplan holds the configuration that operators have declared: routes,
// services, client accounts and limits, as one immutable plan with a version. It
// also holds the targets.
package bbplan

import (
	"strings"
	"time"

	"bluebellport.example/shared/bbunit"
)

// Version is the version of a plan; later plans have higher versions.
type Version int64

// RouteID names a route.
type RouteID string

// Kind says whether the requests of a route may be repeated, and whether the answer
// is a stream.
type Kind int

// Kinds of requests.
const (
	// KindNonIdempotent is a request that must run at most once.
	KindNonIdempotent Kind = iota
	// KindIdempotent is an idempotent request.
	KindIdempotent
	// KindStream is a generation whose answer is a stream of events. It must run at
	// most once, unless the route is Resumable.
	KindStream
)

// WeightedService is a service with its relative weight in the traffic of a route.
type WeightedService struct {
	Service bbunit.ServiceID
	Weight  float64
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	ID     RouteID
	Host   string // lower case
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time that a request may take; 0 means no limit of the
	// route.
	Timeout time.Duration
	// LatencyObjective is the target latency of the answer, or of the first event of
	// a stream.
	LatencyObjective time.Duration
	// EventGapObjective is the longest acceptable pause between events of a stream.
	EventGapObjective time.Duration
	Priority          int // 0 is the most urgent
	Services          []WeightedService
	// MaxAttempts is how many times one request may be sent to a target.
	MaxAttempts int
	// Public means that requests need no API key.
	Public bool
	// Resumable means that a broken stream may be resumed at another target.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service is a model service or a plain HTTP service.
type Service struct {
	ID bbunit.ServiceID
	// MaxConns is how many connections one target accepts from all callers together.
	MaxConns int
	// Engine is set for model services.
	Engine *Engine
	// Cold is set for services whose targets are cold after a start.
	Cold *Cold
}

// Cold tells how long the targets of a service are cold after a start, and how many
// requests a second each tolerates meanwhile. Both are above 0.
type Cold struct {
	Start     time.Duration
	PerSecond float64
}

// Engine holds the capacity of each target of a model service.
type Engine struct {
	Slots          int           // requests that can run at once
	CacheTokens    bbunit.Tokens // size of the KV cache, for running requests and cached prefixes
	MaxEventTokens bbunit.Tokens // most tokens in one event of a stream; 0 if not told
}

// Account is a client account.
type Account struct {
	ID bbunit.AccountID
	// Priority overrides the priority of the route; -1 means that none is set.
	Priority int
	// Paid is the total that the account may spend if it is Prepaid. Other accounts
	// have no limit.
	Paid    bbunit.Tokens
	Prepaid bool
}

// Limits holds the limits of client connections and requests.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout is how long a client may take to send the request header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration
}

// Plan is the whole declared configuration. It is immutable.
type Plan struct {
	Version  Version
	Limits   Limits
	Services map[bbunit.ServiceID]*Service
	Accounts map[bbunit.AccountID]*Account
	// KeyRequired means that requests need an API key, unless their route is Public. It is
	// set by any list of accounts, so that an empty one lets nobody in.
	KeyRequired bool
	// EventSizes is the most tokens in one event of a stream, for the services of which this
	// plan or an older one tells that, by the newest that does.
	EventSizes map[bbunit.ServiceID]bbunit.Tokens

	accountsByKey map[string]*Account
	routes        map[string]map[string]*Route // by host, then path prefix
	resumable     map[bbunit.ServiceID]bool    // those to which a resumable stream may go
}

// New returns a copy of p with routes and with accounts by API key.
func New(p Plan, routes []*Route, accountsByKey map[string]*Account) *Plan {
	p.accountsByKey = accountsByKey
	p.routes = map[string]map[string]*Route{}
	p.resumable = map[bbunit.ServiceID]bool{}
	for _, r := range routes {
		if p.routes[r.Host] == nil {
			p.routes[r.Host] = map[string]*Route{}
		}
		p.routes[r.Host][r.Prefix] = r
		if r.Kind != KindStream || !r.Resumable {
			continue
		}
		for _, s := range r.Services {
			p.resumable[s.Service] = true
		}
	}
	return &p
}

// FindRoute returns the route of the host with the longest prefix of path, or nil if
// there is none. Path has no query.
func (p *Plan) FindRoute(host, path string) *Route {
	prefixes := p.routes[normalizeHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil
		}
		if r := prefixes[path[:i+1]]; r != nil {
			return r
		}
		end = i
	}
	return nil
}

// HasRoute reports whether the plan has a route.
func (p *Plan) HasRoute(id RouteID) bool {
	for _, prefixes := range p.routes {
		for _, r := range prefixes {
			if r.ID == id {
				return true
			}
		}
	}
	return false
}

// IsEngine reports whether a service is known to be a model service.
func (p *Plan) IsEngine(id bbunit.ServiceID) bool {
	service := p.Services[id]
	return service != nil && service.Engine != nil
}

// ResumesStreams reports whether a route with resumable streams leads to a service.
func (p *Plan) ResumesStreams(id bbunit.ServiceID) bool { return p.resumable[id] }

// EventTokens returns the most tokens in one event of the streams of a route at one of its
// services, 0 if no plan has told any, and whether this plan tells it of the service. A
// service of which it does not is taken to stream as it did, as others of the route do, or
// as any does, since the services of a deployment stream alike.
func (p *Plan) EventTokens(route *Route, id bbunit.ServiceID) (n bbunit.Tokens, told bool) {
	if p.IsEngine(id) && p.Services[id].Engine.MaxEventTokens > 0 {
		return p.Services[id].Engine.MaxEventTokens, true
	}
	if n = p.EventSizes[id]; n > 0 {
		return n, false
	}
	for _, s := range route.Services {
		n = max(n, p.EventSizes[s.Service])
	}
	if n > 0 {
		return n, false
	}
	for _, size := range p.EventSizes {
		n = max(n, size)
	}
	return n, false
}

// AccountByKey returns the account with the given API key, or nil if there is none.
func (p *Plan) AccountByKey(key string) *Account { return p.accountsByKey[key] }

// normalizeHost returns the value of a Host header without its port, in lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PickService chooses a service of the route by weight. Random must be uniform in
// [0,1).
func (r *Route) PickService(random float64) bbunit.ServiceID {
	var total float64
	for _, s := range r.Services {
		total += s.Weight
	}
	random *= total
	for _, s := range r.Services {
		if random < s.Weight {
			return s.Service
		}
		random -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}
