// Package bbmetrics writes a metrics registry in the Prometheus text format.
package bbmetrics

import (
	"bytes"
	"fmt"
	"sort"
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/rcrowley/go-metrics"
)

// contentType is the media type of the Prometheus text format.
const contentType = "text/plain; version=0.0.4"

// prefix is put before all names.
const prefix = "bluebellport_"

// quantiles are those written for each histogram and timer.
var quantiles = []float64{0.5, 0.95, 0.99}

// nsPerSecond converts the nanoseconds of timers to seconds.
const nsPerSecond = 1e9

// Handler returns an HTTP handler that answers with the registry's metrics.
func Handler(r metrics.Registry) fiber.Handler {
	return func(c *fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, contentType)
		return c.Send(Text(r))
	}
}

// Text returns the metrics of a registry in the Prometheus text format, sorted
// by line. Timers are in seconds.
func Text(r metrics.Registry) []byte {
	var lines []string
	add := func(name, label string, v any) {
		lines = append(lines, fmt.Sprintf("%s%s%s %v", prefix, strings.NewReplacer(".", "_", "-", "_").Replace(name), label, v))
	}
	r.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			add(name+"_total", "", m.Count())
		case metrics.Gauge:
			add(name, "", m.Value())
		case metrics.GaugeFloat64:
			add(name, "", m.Value())
		case metrics.Meter:
			add(name+"_total", "", m.Count())
		case metrics.Histogram:
			s := m.Snapshot()
			addQuantiles(add, name, s.Count(), s.Percentiles(quantiles), 1)
		case metrics.Timer:
			s := m.Snapshot()
			addQuantiles(add, name+"_seconds", s.Count(), s.Percentiles(quantiles), nsPerSecond)
		}
	})
	sort.Strings(lines)
	var b bytes.Buffer
	for _, l := range lines {
		b.WriteString(l + "\n")
	}
	return b.Bytes()
}

// addQuantiles adds the count and the quantiles of a histogram or timer, whose
// values are divided by unit.
func addQuantiles(add func(name, label string, v any), name string, n int64, values []float64, unit float64) {
	add(name+"_count", "", n)
	for i, q := range quantiles {
		add(name, fmt.Sprintf("{quantile=%q}", fmt.Sprint(q)), values[i]/unit)
	}
}
