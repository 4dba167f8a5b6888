// Package bbmetrics writes a registry of metrics as the usual collectors read
// it.
package bbmetrics

import (
	"bytes"
	"fmt"
	"sort"
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/rcrowley/go-metrics"
)

// contentType is that of the text.
const contentType = "text/plain; version=0.0.4"

// prefix stands before all names.
const prefix = "bluebellport_"

// quantiles that the text shows of each distribution.
var quantiles = []float64{0.5, 0.95, 0.99}

// nsPerSecond turns the nanoseconds of timers into seconds.
const nsPerSecond = 1e9

// Handler returns a handler that answers with a registry's text.
func Handler(r metrics.Registry) fiber.Handler {
	return func(c *fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, contentType)
		return c.Send(Text(r))
	}
}

// Text writes a registry in the Prometheus text format, sorted by name. Timers
// are in seconds.
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

func addQuantiles(add func(name, label string, v any), name string, n int64, values []float64, unit float64) {
	add(name+"_count", "", n)
	for i, q := range quantiles {
		add(name, fmt.Sprintf("{quantile=%q}", fmt.Sprint(q)), values[i]/unit)
	}
}
