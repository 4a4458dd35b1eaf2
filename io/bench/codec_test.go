package bench

import (
	"testing"

	"tanagerchute/core/config"
	"tanagerchute/core/delta"
)

// BenchmarkDelta measures encoding and decoding the delta between two documents
// of 31 services that differ in one latency target.
func BenchmarkDelta(b *testing.B) {
	base, next := document(31, 0), document(31, 1)
	d, err := delta.Encode(base, next)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := delta.Encode(base, next); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(d)), "delta_bytes")
		b.ReportMetric(float64(len(next)), "document_bytes")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := delta.Decode(base, d, config.MaxDocumentBytes); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkParse measures how long a node takes to parse and check a version.
func BenchmarkParse(b *testing.B) {
	doc := document(31, 0)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.Parse("bench", doc); err != nil {
			b.Fatal(err)
		}
	}
}
