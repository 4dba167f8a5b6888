package bbmetrics

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func TestText(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("door.refused.503", r).Inc(2)
	metrics.GetOrRegisterGauge("door.open", r).Update(3)
	metrics.GetOrRegisterHistogram("door.dispatch-ms", r, metrics.NewUniformSample(8)).Update(int64(4))
	timer := metrics.NewTimer()
	defer timer.Stop()
	timer.Update(time.Second)
	is.NoErr(r.Register("write", timer))
	is.Equal(string(Text(r)), `bluebellport_door_dispatch_ms_count 1
bluebellport_door_dispatch_ms{quantile="0.5"} 4
bluebellport_door_dispatch_ms{quantile="0.95"} 4
bluebellport_door_dispatch_ms{quantile="0.99"} 4
bluebellport_door_open 3
bluebellport_door_refused_503_total 2
bluebellport_write_seconds_count 1
bluebellport_write_seconds{quantile="0.5"} 1
bluebellport_write_seconds{quantile="0.95"} 1
bluebellport_write_seconds{quantile="0.99"} 1
`)
}
