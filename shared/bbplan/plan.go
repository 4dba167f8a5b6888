// Package bbplan holds what the operators have declared: routes, services,
// client accounts and limits, as one immutable state with a version.
package bbplan

import (
	"strings"
	"time"

	"bluebellport.example/shared/bbunit"
)

// Version orders the states that operators declare.
type Version int64

// RouteID names a route.
type RouteID string

// Kind tells how a request may be repeated and how its answer comes.
type Kind int

// Kinds of requests.
const (
	// KindNonIdempotent is a request that must run at most once.
	KindNonIdempotent Kind = iota
	// KindIdempotent is an idempotent request.
	KindIdempotent
	// KindStream is a generation whose answer is a stream of events; it may run
	// once, unless its route lets streams resume.
	KindStream
)

// WeightedService is a service's part of the traffic of a route.
type WeightedService struct {
	Service bbunit.ServiceID
	Weight  float64
}

// Route sends requests of one host and path prefix to services.
type Route struct {
	ID     RouteID
	Host   string // lower case
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or the first event, is on time.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between events of a stream that is on time.
	EventGapObjective time.Duration
	Priority          int // 0 is the most urgent
	Services          []WeightedService
	// MaxAttempts is the most targets that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable lets a broken stream go on at another target.
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service is a model service or a plain one.
type Service struct {
	ID bbunit.ServiceID
	// MaxConns is the most connections that one target takes from all callers.
	MaxConns int
	// Engine is set for model services.
	Engine *Engine
}

// Engine tells what the targets of a model service are.
type Engine struct {
	Slots          int           // requests that run at once
	CacheTokens    bbunit.Tokens // of running requests and cached parts
	MaxEventTokens bbunit.Tokens // most tokens of one event
}

// Account is a client account.
type Account struct {
	ID bbunit.AccountID
	// Priority goes before the route's where set; -1 is none.
	Priority int
	// Paid is what the account may consume; Metered tells that it is bounded.
	Paid    bbunit.Tokens
	Prepaid bool
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int // bytes
	// HeaderTimeout is how long a client may take to send a head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration
}

// Plan is a whole declared state. It is immutable.
type Plan struct {
	Version  Version
	Limits   Limits
	Services map[bbunit.ServiceID]*Service
	Accounts map[bbunit.AccountID]*Account
	// KeyRequired tells that requests need a key, unless their route is open.
	KeyRequired bool

	accountsByKey map[string]*Account
	routes        map[string]map[string]*Route // host, prefix
}

// New returns a plan of these parts. Keys maps each key to its account.
func New(p Plan, routes []*Route, accountsByKey map[string]*Account) *Plan {
	p.accountsByKey = accountsByKey
	p.routes = map[string]map[string]*Route{}
	for _, r := range routes {
		if p.routes[r.Host] == nil {
			p.routes[r.Host] = map[string]*Route{}
		}
		p.routes[r.Host][r.Prefix] = r
	}
	return &p
}

// FindRoute returns the route of a host and a path without its query, nil when there
// is none: the longest prefix wins.
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

// AccountByKey returns the account of a key, nil when no account has it.
func (p *Plan) AccountByKey(key string) *Account { return p.accountsByKey[key] }

// normalizeHost is a Host field without port, in lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PickService returns the service of a route that a number in [0,1) draws.
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
