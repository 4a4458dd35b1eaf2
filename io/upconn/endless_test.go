package upconn_test

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"tanagerchute/core/author"
	"tanagerchute/internal/faulty"
	"tanagerchute/io/memory"
	"tanagerchute/io/upconn"
)

// TestEndlessAnswer guards against an answer that takes memory for as long as its server sends
// it, wherever in the answer that is.
func TestEndlessAnswer(t *testing.T) {
	const allowedMB = 8
	const other = okLine + "X-Id: " + earlierID + "\r\nX-Seal: s\r\n" + okSized
	whole := okLine + "X-Id: " + requestID + "\r\nX-Seal: s\r\n"
	for name, b := range map[string]faulty.Bytes{
		"no line":                  {Rest: strings.Repeat("a", 4000)},
		"status line":              {Start: "HTTP/1.1 200 ", Rest: strings.Repeat("a", 4000)},
		"short fields":             {Start: whole, Rest: strings.Repeat("a:\r\n", 1000)},
		"name":                     {Start: whole, Rest: strings.Repeat("a", 4000)},
		"value":                    {Start: whole + "X-A: ", Rest: strings.Repeat("a", 4000)},
		"continued value":          {Start: whole + "X-A: a\r\n", Rest: strings.Repeat(" a\r\n", 500)},
		"interim answers":          {Rest: "HTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\n"},
		"head of interim answer":   {Start: "HTTP/1.1 103 Early Hints\r\n", Rest: strings.Repeat("a:\r\n", 1000)},
		"answers to others":        {Rest: other},
		"answer to another":        {Start: okLine + "X-Id: b\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", Rest: strings.Repeat("1\r\nx\r\n", 500)},
		"body":                     {Start: whole + "\r\n", Rest: strings.Repeat("a", 4000)},
		"chunks":                   {Start: whole + chunky, Rest: strings.Repeat("1\r\nx\r\n", 500)},
		"chunk size":               {Start: whole + chunky, Rest: strings.Repeat("0", 4000)},
		"chunk extension":          {Start: whole + chunky + "1;", Rest: strings.Repeat("a", 4000)},
		"chunk extensions":         {Start: whole + chunky, Rest: "1;" + strings.Repeat("a", 3000) + "\r\nx\r\n"},
		"trailer":                  {Start: whole + chunky + okEnd, Rest: strings.Repeat("a:\r\n", 1000)},
		"value in the trailer":     {Start: whole + chunky + okEnd + "X-A: ", Rest: strings.Repeat("a", 4000)},
		"large declared length":    {Start: whole + "Content-Length: 9223372036854775807\r\n\r\n", Rest: strings.Repeat("a", 4000)},
		"large declared chunk":     {Start: whole + chunky + "fffffffffffffff\r\n", Rest: strings.Repeat("a", 4000)},
		"behind the whole answer":  {Start: whole + okSized, Rest: strings.Repeat("a", 4000)},
		"behind an answer at once": {Start: whole + okSized + strings.Repeat("a", 4000), Rest: strings.Repeat("a", 4000)},
	} {
		for _, parse := range []func(*http.Response) author.Answer{parseHead, nil} {
			p := upconn.New(upconn.Config{
				MaxAnswerBytes: 1 << 20, Parse: parse, Rules: author.Rules{NamesRequest: true, PromisesByStatus: true},
				Memory: memory.NewRoom(memory.Config{Bytes: 64 << 20}),
			})
			addr := faulty.Serve(t, b)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			a, err := p.Do(ctx, addr, upconn.Request{Method: http.MethodGet, Path: "/", Host: "a", Header: http.Header{}, ID: requestID})
			runtime.ReadMemStats(&after)
			cancel()
			p.CloseIdle()
			what := fmt.Sprintf("%s, dialect %v", name, parse != nil)
			if whole := strings.Contains(name, "behind") || parse == nil && name == "answers to others"; whole != (err == nil) {
				t.Errorf("%s: body %q, error %v", what, a.BodyBytes, err)
			}
			if mb := (after.TotalAlloc - before.TotalAlloc) >> 20; mb > allowedMB {
				t.Errorf("%s: %d MB allocated", what, mb)
			}
		}
	}
}
