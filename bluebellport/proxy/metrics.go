package bbproxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	bbpressure "bluebellport.example/bluebellport/pressure"
)

// proxyMetrics are the metrics of the proxy.
type proxyMetrics struct {
	registry metrics.Registry
	// served counts the target responses passed to clients, failures included.
	served metrics.Counter
	// targetConns counts the connections to targets that were opened and used,
	// strays the responses on them that belong to no request in flight there.
	targetConns, strays metrics.Counter
	// looks counts the connections that were opened to look whether a target still
	// listens.
	looks metrics.Counter
	// refusedBehind counts the refusals that rest on a plan while a newer one was known
	// to exist.
	refusedBehind metrics.Counter
	// invalidEntries counts the entries of the list of targets that name none.
	invalidEntries metrics.Counter
	// dispatchTime is the time from a complete request to its first attempt, which
	// is the instance's own part of the latency. firstByteTime is the time to the
	// first event of a stream, or to the whole response otherwise. Both in
	// microseconds.
	dispatchTime, firstByteTime metrics.Histogram
	pressure                    pressureMetrics
}

// pressureMetrics are the metrics of what the instance does while it is short of a resource.
type pressureMetrics struct {
	// short is the set of the resources as a number, notReady 1 while the instance is not
	// ready.
	short, notReady metrics.Gauge
	// refused counts the requests whose bodies were not read, givenBack the connections
	// that were closed behind a response, idleClosed those closed while they waited.
	refused, givenBack, idleClosed metrics.Counter
}

func newPressureMetrics(registry metrics.Registry) pressureMetrics {
	return pressureMetrics{
		short:      metrics.GetOrRegisterGauge("door.pressure.short", registry),
		notReady:   metrics.GetOrRegisterGauge("door.pressure.not-ready", registry),
		refused:    metrics.GetOrRegisterCounter("door.pressure.refused", registry),
		givenBack:  metrics.GetOrRegisterCounter("door.pressure.given-back", registry),
		idleClosed: metrics.GetOrRegisterCounter("door.pressure.idle-closed", registry),
	}
}

// record sets the gauges.
func (m *pressureMetrics) record(state bbpressure.State) {
	m.short.Update(int64(state.Short))
	notReady := int64(0)
	if state.NotReady {
		notReady = 1
	}
	m.notReady.Update(notReady)
}

func newProxyMetrics(registry metrics.Registry) *proxyMetrics {
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(histogramSamples, histogramDecay) }
	return &proxyMetrics{
		registry:       registry,
		served:         metrics.GetOrRegisterCounter("door.served", registry),
		targetConns:    metrics.GetOrRegisterCounter("door.conns", registry),
		strays:         metrics.GetOrRegisterCounter("door.strays", registry),
		looks:          metrics.GetOrRegisterCounter("door.looks", registry),
		invalidEntries: metrics.GetOrRegisterCounter("door.targets.invalid", registry),
		refusedBehind:  metrics.GetOrRegisterCounter("door.plan.refused-behind", registry),
		dispatchTime:   metrics.GetOrRegisterHistogram("door.own-us", registry, sample()),
		firstByteTime:  metrics.GetOrRegisterHistogram("door.first-us", registry, sample()),
		pressure:       newPressureMetrics(registry),
	}
}

// callKinds are the kinds of calls to the platform's store.
var callKinds = []string{"key", "range", "watch", "txn", "lease", "keep", "lease-end"}

// registerCalls registers how many calls of each kind to the store were made, whatever
// their keys. Counts returns them by kind and key.
func (m *proxyMetrics) registerCalls(counts func() map[string]int64) {
	for _, kind := range callKinds {
		metrics.NewRegisteredFunctionalGauge("door.calls."+kind, m.registry, func() int64 {
			total := int64(0)
			for name, n := range counts() {
				if name, _, _ = strings.Cut(name, "?"); name == kind {
					total += n
				}
			}
			return total
		})
	}
}

// registerPlan registers the version of the plan in force, for how long a newer one has
// been known to exist, and for how long nothing has shown that none is newer.
func (m *proxyMetrics) registerPlan(board *Board, now func() time.Time, unconfirmed func() time.Duration) {
	metrics.NewRegisteredFunctionalGauge("door.plan.version", m.registry, func() int64 {
		if plan := board.Plan.Load(); plan != nil {
			return int64(plan.Version)
		}
		return 0
	})
	metrics.NewRegisteredFunctionalGauge("door.plan.behind-ms", m.registry, func() int64 {
		_, known, _ := board.PlanLag.behind(now())
		return known.Milliseconds()
	})
	metrics.NewRegisteredFunctionalGauge("door.plan.unconfirmed-ms", m.registry, func() int64 { return unconfirmed().Milliseconds() })
}

// registerStorePath registers how many calls that wait for the store were ended as lost,
// how many looks for plans were made beside polls, and how many polls stayed silent after
// their news had come by another way.
func (m *proxyMetrics) registerStorePath(lost, looks, overtaken func() int64) {
	metrics.NewRegisteredFunctionalGauge("door.store.lost-waits", m.registry, lost)
	metrics.NewRegisteredFunctionalGauge("door.store.looks", m.registry, looks)
	metrics.NewRegisteredFunctionalGauge("door.store.overtaken", m.registry, overtaken)
}

// recordDispatch records the first attempt of a request.
func (m *proxyMetrics) recordDispatch(receivedAt time.Time) {
	m.dispatchTime.Update(time.Since(receivedAt).Microseconds())
}

// recordServed records a response that was passed on whole. firstAt is when its
// first event came, zero if it is no stream.
func (m *proxyMetrics) recordServed(receivedAt, firstAt time.Time) {
	m.served.Inc(1)
	if firstAt.IsZero() {
		firstAt = time.Now()
	}
	m.firstByteTime.Update(firstAt.Sub(receivedAt).Microseconds())
}

// recordRefusal counts the proxy's own refusals by status.
func (m *proxyMetrics) recordRefusal(status int) {
	metrics.GetOrRegisterCounter("door.refused."+strconv.Itoa(status), m.registry).Inc(1)
}

// recordFailure counts attempts without a response by how they ended.
func (m *proxyMetrics) recordFailure(kind resultKind) {
	metrics.GetOrRegisterCounter("door.attempts."+kind.String(), m.registry).Inc(1)
}
