package field_test

import (
	"bufio"
	"maps"
	"net/http"
	"net/textproto"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tanagerchute/core/field"
	_ "tanagerchute/internal/seed"
)

func TestParseStatus(t *testing.T) {
	for line, want := range map[string]field.Status{
		"HTTP/1.1 200 OK":        {MinorVersion: 1, Code: 200},
		"HTTP/1.0 599 \xc3\xa9 ": {MinorVersion: 0, Code: 599},
		"HTTP/1.1 100":           {MinorVersion: 1, Code: 100},
		"HTTP/1.1  404  Not\tF":  {MinorVersion: 1, Code: 404},
	} {
		if got, err := field.ParseStatus(line); err != nil || got != want {
			t.Errorf("%q: %+v, error %v", line, got, err)
		}
	}
	for _, line := range []string{
		"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 20", "HTTP/1.1 2000", "HTTP/1.1 099", "HTTP/1.1 600", "HTTP/1.1 +20", "HTTP/1.1 2\x000",
		"HTTP/2 200 OK", "HTTP/1. 200 OK", "HTTP/1.11 200 OK", "HTTP/1.x 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x7fK",
	} {
		if got, err := field.ParseStatus(line); err == nil {
			t.Errorf("%q: %+v", line, got)
		}
	}
}

// TestHeaderAgreesWithLibrary draws lines at random. Those that CheckLine accepts are read as
// net/textproto reads them, and their names and values are well-formed.
func TestHeaderAgreesWithLibrary(t *testing.T) {
	name := rapid.SampledFrom([]string{"a", "X-A", "x-a", "Content-Length", "X A", "X-A ", "", "é", "X\x00"})
	value := rapid.SampledFrom([]string{"", " ", "b", "\tb c \t", ": b:", "é", "b\rc", "\x00", "\x7f"})
	line := rapid.Custom(func(t *rapid.T) string {
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
			return rapid.SampledFrom([]string{" ", "\t", "  "}).Draw(t, "blank") + value.Draw(t, "value") + end
		}
		return name.Draw(t, "name") + rapid.SampledFrom([]string{":", ":", ": ", ""}).Draw(t, "colon") + value.Draw(t, "value") + end
	})
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(line, 1, 4).Draw(t, "lines")
		for i, l := range lines {
			if field.CheckLine([]byte(strings.TrimSuffix(strings.TrimSuffix(l, "\n"), "\r")), i == 0) != nil {
				return
			}
		}
		accepted++
		text := strings.Join(lines, "")
		want, err := textproto.NewReader(bufio.NewReader(strings.NewReader(text + "\r\n"))).ReadMIMEHeader()
		if err != nil {
			t.Fatalf("%q is accepted: %v", text, err)
		}
		got := field.Header(text)
		if !maps.EqualFunc(got, http.Header(want), slices.Equal) {
			t.Fatalf("%q: %q, want %q", text, got, want)
		}
		if err := field.CheckNames(got); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
	})
	if accepted == 0 {
		t.Fatal("no lines were accepted")
	}
}

// TestContinuedValueIsReadOnce guards against a value in many lines that is copied once for each
// of them.
func TestContinuedValueIsReadOnce(t *testing.T) {
	const lines, allowedCopies = 1000, 4
	text := "X-A: a\r\n" + strings.Repeat(" "+strings.Repeat("b", 250)+"\r\n", lines)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	h := field.Header(text)
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; got > allowedCopies*uint64(len(text)) {
		t.Errorf("%d bytes allocated for %d", got, len(text))
	}
	if n := len(h.Get("X-A")); n != 1+251*lines {
		t.Errorf("value of %d bytes", n)
	}
}

func TestSingle(t *testing.T) {
	h := http.Header{"X-A": {"a"}, "X-B": {"b", "b"}}
	for name, want := range map[string]string{"x-a": "a", "X-B": "", "X-C": ""} {
		if got := field.Single(h, name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
}
