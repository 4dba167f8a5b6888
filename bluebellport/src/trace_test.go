package bbport

import (
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace/noop"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

// TestSpans checks that a request under a caller's trace exports a span for each
// step, all in that trace and with the right parents, and that the trace is
// passed on to the target.
func TestSpans(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	parents, names := map[string]string{}, map[string]string{} // by span id
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var m collector.ExportTraceServiceRequest
		if err := proto.Unmarshal(body, &m); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, rs := range m.ResourceSpans {
			for _, ss := range rs.ScopeSpans {
				for _, s := range ss.Spans {
					is.Equal(hex.EncodeToString(s.TraceId), "0af7651916cd43dd8448eb211c80319c")
					names[hex.EncodeToString(s.SpanId)], parents[hex.EncodeToString(s.SpanId)] = s.Name, hex.EncodeToString(s.ParentSpanId)
				}
			}
		}
	}))
	defer srv.Close()
	o := &Options{}
	o.Self.TraceAddress = srv.Listener.Addr().String()
	stop, err := startTracing(o)
	is.NoErr(err)
	defer otel.SetTracerProvider(noop.NewTracerProvider())

	var gotTraceparent string
	f := newTestFrontend(t, func(w http.ResponseWriter, r *http.Request) {
		gotTraceparent = r.Header.Get("Traceparent")
		_, _ = w.Write([]byte("ok"))
	})
	resp, _ := f.do(t, "POST", "/services/desk/x", "", "Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	is.Equal(resp.StatusCode, 200)
	f.waitSettled(is)
	stop()
	mu.Lock()
	defer mu.Unlock()
	got := map[string]string{} // name -> parent's name
	for id, n := range names {
		got[n] = names[parents[id]]
	}
	is.Equal(got["attempt"], "request")
	is.Equal(got["claim"], "request")
	is.Equal(got["reserve"], "request")
	_, ok := got["request"]
	is.True(ok)
	is.True(strings.HasPrefix(gotTraceparent, "00-0af7651916cd43dd8448eb211c80319c-")) // the target is in the same trace
}
