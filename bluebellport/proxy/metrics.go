package bbproxy

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
)

// proxyMetrics counts what the door does, for the page of metrics.
type proxyMetrics struct {
	registry metrics.Registry
	// served are answers of targets that were passed on, failures included.
	served metrics.Counter
	// dispatchTime is the time from a whole request to its first send, which is the
	// instance's own part; first is that to the first event of a stream or to a
	// whole plain answer. Both in microseconds.
	dispatchTime, firstByteTime metrics.Histogram
}

func newProxyMetrics(registry metrics.Registry) *proxyMetrics {
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(histogramSamples, histogramDecay) }
	return &proxyMetrics{
		registry:      registry,
		served:        metrics.GetOrRegisterCounter("door.served", registry),
		dispatchTime:  metrics.GetOrRegisterHistogram("door.own-us", registry, sample()),
		firstByteTime: metrics.GetOrRegisterHistogram("door.first-us", registry, sample()),
	}
}

// recordDispatch notes the first send of a request that came at that moment.
func (m *proxyMetrics) recordDispatch(receivedAt time.Time) {
	m.dispatchTime.Update(time.Since(receivedAt).Microseconds())
}

// recordServed notes an answer that was passed on whole; first is zero for a plain
// one.
func (m *proxyMetrics) recordServed(receivedAt, firstAt time.Time) {
	m.served.Inc(1)
	if firstAt.IsZero() {
		firstAt = time.Now()
	}
	m.firstByteTime.Update(firstAt.Sub(receivedAt).Microseconds())
}

// recordRefusal counts the fleet's own answers by status.
func (m *proxyMetrics) recordRefusal(status int) {
	metrics.GetOrRegisterCounter("door.refused."+strconv.Itoa(status), m.registry).Inc(1)
}

// recordFailure counts attempts that brought no answer, by how they ended.
func (m *proxyMetrics) recordFailure(kind resultKind) {
	metrics.GetOrRegisterCounter("door.attempts."+kind.String(), m.registry).Inc(1)
}
