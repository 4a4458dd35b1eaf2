// Package trace provides the tracer of a node. It records a span for each hop of
// a call and exports spans over OTLP/HTTP or to a file.
//
// Spans that failed or were slow are always exported. Of the others only a sample
// is exported, to limit the cost.
//
// # Usage
//
//	p, err := trace.New(ctx, trace.Config{Node: "hafnar-1", File: "spans.json"})
//	defer p.Close(ctx)
//	ctx, span := p.Tracer().Start(ctx, "ingress")
package trace

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// Config configures a Provider. If neither OTLP nor File is set, no spans are
// exported. If both are, File is ignored.
type Config struct {
	Node          string        // name of the instance
	OTLP          string        // URL of a collector, such as http://10.0.0.9:4318
	File          string        // path, or "-" for standard error
	SlowThreshold time.Duration // spans that take this long are always exported
	SampleRatio   float64       // fraction of other spans that are exported
}

// Provider provides the tracer and exports its spans.
type Provider struct {
	sdk  *sdktrace.TracerProvider
	file io.Closer
}

// New returns a provider. It opens the span file, if one is configured.
func New(ctx context.Context, cfg Config) (*Provider, error) {
	p := &Provider{}
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", cfg.Node))),
	}
	exp, err := p.exporter(ctx, cfg)
	if err != nil {
		return nil, err
	}
	if exp != nil {
		batch := sdktrace.NewBatchSpanProcessor(exp)
		opts = append(opts, sdktrace.WithSpanProcessor(&samplingProcessor{SpanProcessor: batch, cfg: cfg}))
	}
	p.sdk = sdktrace.NewTracerProvider(opts...)
	return p, nil
}

// exporter returns the configured exporter, or nil if there is none.
func (p *Provider) exporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, error) {
	switch {
	case cfg.OTLP != "":
		exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.OTLP))
		if err != nil {
			return nil, errors.Wrap(err, "create OTLP exporter")
		}
		return exp, nil
	case cfg.File == "-":
		return stdouttrace.New(stdouttrace.WithWriter(os.Stderr))
	case cfg.File != "":
		f, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Wrap(err, "open span file")
		}
		p.file = f
		return stdouttrace.New(stdouttrace.WithWriter(f))
	}
	return nil, nil
}

// Tracer returns the tracer. Its spans go to the configured exporter.
func (p *Provider) Tracer() oteltrace.Tracer { return p.sdk.Tracer("tanagerchute") }

// Close exports the remaining spans and closes the span file.
func (p *Provider) Close(ctx context.Context) error {
	err := p.sdk.Shutdown(ctx)
	if p.file != nil {
		err = errors.Join(err, p.file.Close())
	}
	return err
}

// samplingProcessor passes on the spans that should be exported. It decides when
// a span ends, since the status and the duration are only known then.
type samplingProcessor struct {
	sdktrace.SpanProcessor
	cfg Config
}

// OnEnd implements sdktrace.SpanProcessor.
func (p *samplingProcessor) OnEnd(s sdktrace.ReadOnlySpan) {
	if p.shouldExport(s) {
		p.SpanProcessor.OnEnd(s)
	}
}

func (p *samplingProcessor) shouldExport(s sdktrace.ReadOnlySpan) bool {
	if s.Status().Code == codes.Error || s.EndTime().Sub(s.StartTime()) >= p.cfg.SlowThreshold {
		return true
	}
	// Sampling by the trace id, which is random, gives all hops of a trace the
	// same result.
	id := s.SpanContext().TraceID()
	return float64(uint16(id[14])<<8|uint16(id[15])) < p.cfg.SampleRatio*(1<<16)
}
