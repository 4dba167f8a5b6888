package bbport

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"bluebellport.example/shared/bbunit"
)

// traceFlushTimeout limits the export of the last spans when the instance stops.
const traceFlushTimeout = 2 * time.Second

// newLogger returns a logger that writes JSON lines.
func newLogger(opts *Options, w io.Writer) (logrus.FieldLogger, error) {
	level, err := logrus.ParseLevel(opts.Self.LogLevel)
	if err != nil {
		return nil, errors.Annotate(err, "--log-level")
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return logger.WithFields(logrus.Fields{"instance": opts.Self.Instance, "domain": opts.Self.Domain}), nil
}

// startTracing sets the global trace propagator, and the exporter if the options
// name a collector. The returned function exports the last spans.
func startTracing(opts *Options) (func(), error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if opts.Self.TraceAddress == "" {
		return func() {}, nil
	}
	exporter, err := otlptracehttp.New(context.Background(),
		otlptracehttp.WithEndpoint(opts.Self.TraceAddress), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, errors.Annotate(err, "--trace-otlp")
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "bluebellport"),
		attribute.String("service.version", bbunit.Version),
		attribute.String("service.instance.id", opts.Self.Instance),
	)))
	otel.SetTracerProvider(provider)
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer cancel()
		_ = provider.Shutdown(ctx)
	}, nil
}

// newIncarnation returns a random number that distinguishes this run of the
// instance from earlier and later ones.
func newIncarnation() bbunit.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return bbunit.Incarnation(binary.LittleEndian.Uint64(b[:]))
}
