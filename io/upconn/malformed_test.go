package upconn_test

import (
	"net/http"
	"strings"
	"testing"

	"tanagerchute/core/author"
)

// Parts of the answers in the tables below.
const (
	okLine  = "HTTP/1.1 200 OK\r\n"
	named   = "X-Id: {id}\r\nX-Seal: s\r\n"
	okSized = "Content-Length: 2\r\n\r\nok"
	okEnd   = "2\r\nok\r\n0\r\n" // of a chunked body, before its trailer
	chunky  = "Transfer-Encoding: chunked\r\n\r\n"
)

// malformedAnswers are bytes that the protocol does not allow as an answer.
var malformedAnswers = map[string]string{
	"status 000":            "HTTP/1.1 000 zero\r\n" + named + okSized,
	"status 001":            "HTTP/1.1 001 low\r\n" + named + okSized,
	"status 099":            "HTTP/1.1 099 low\r\n" + named + okSized,
	"status 600":            "HTTP/1.1 600 high\r\n" + named + okSized,
	"status 999":            "HTTP/1.1 999 high\r\n" + named + okSized,
	"status +20":            "HTTP/1.1 +20 sign\r\n" + named + okSized,
	"status -20":            "HTTP/1.1 -20 sign\r\n" + named + okSized,
	"status of two digits":  "HTTP/1.1 20 short\r\n" + named + okSized,
	"status of four digits": "HTTP/1.1 2000 long\r\n" + named + okSized,
	"status missing":        "HTTP/1.1\r\n" + named + okSized,
	"other protocol":        "HTTP/1.1 101 Switching Protocols\r\n" + "\r\n" + okLine + named + okSized,
	"version 0.9":           "HTTP/0.9 200 OK\r\n" + named + okSized,
	"version 2.0":           "HTTP/2.0 200 OK\r\n" + named + okSized,
	"NUL in the reason":     "HTTP/1.1 200 O\x00K\r\n" + named + okSized,
	"CR in the reason":      "HTTP/1.1 200 OK\rX-A: b\r\n" + named + okSized,
	"empty line first":      "\r\n" + okLine + named + okSized,

	"blank behind a name":           okLine + named + "X-A : b\r\n" + okSized,
	"blank in a name":               okLine + named + "X Bad: 1\r\n" + okSized,
	"blank behind Content-Length":   okLine + named + "Content-Length : 2\r\n\r\nok",
	"blank behind the coding":       okLine + named + "Transfer-Encoding : chunked\r\n\r\n" + okEnd + "\r\n",
	"tab behind a name":             okLine + named + "X-A\t: b\r\n" + okSized,
	"control byte in a name":        okLine + named + "X-\x01A: b\r\n" + okSized,
	"NUL in a name":                 okLine + named + "X-\x00A: b\r\n" + okSized,
	"DEL in a name":                 okLine + named + "X-\x7fA: b\r\n" + okSized,
	"parenthesis in a name":         okLine + named + "X-(A): b\r\n" + okSized,
	"letter beyond ASCII in a name": okLine + named + "X-\xc3\xa9: b\r\n" + okSized,
	"no name":                       okLine + named + ": b\r\n" + okSized,
	"no colon":                      okLine + named + "X-A\r\n" + okSized,
	"first field continued":         okLine + " X-A: b\r\n" + named + okSized,
	"NUL in a value":                okLine + named + "X-A: \x00\r\n" + okSized,
	"CR in a value":                 okLine + named + "X-A: b\rX-B: c\r\n" + okSized,
	"CR in a continued value":       okLine + named + "X-A: b\r\n c\rX-B: d\r\n" + okSized,
	"interim, blank in a name":      "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + okLine + named + okSized,

	"coding and length":              okLine + named + "Transfer-Encoding: chunked\r\nContent-Length: 17\r\n\r\n" + okEnd + "\r\n",
	"coding in HTTP/1.0":             "HTTP/1.0 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n" + okEnd + "\r\n",
	"unknown coding":                 okLine + named + "Transfer-Encoding: zip\r\n\r\nok",
	"two codings":                    okLine + named + "Transfer-Encoding: zip, chunked\r\n\r\n" + okEnd + "\r\n",
	"coding twice":                   okLine + named + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + okEnd + "\r\n",
	"empty coding":                   okLine + named + "Transfer-Encoding:\r\n\r\nok",
	"lengths differ":                 okLine + named + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nok",
	"list of lengths":                okLine + named + "Content-Length: 2, 2\r\n\r\nok",
	"length with a sign":             okLine + named + "Content-Length: +2\r\n\r\nok",
	"negative length":                okLine + named + "Content-Length: -2\r\n\r\nok",
	"length of letters":              okLine + named + "Content-Length: two\r\n\r\nok",
	"empty length":                   okLine + named + "Content-Length:\r\n\r\nok",
	"length beyond all":              okLine + named + "Content-Length: 9223372036854775808\r\n\r\nok",
	"body shorter than its length":   okLine + named + "Content-Length: 3\r\n\r\nok",
	"chunk shorter than its size":    okLine + named + chunky + "3\r\nok\r\n0\r\n\r\n",
	"chunk longer than its size":     okLine + named + chunky + "1\r\nok\r\n0\r\n\r\n",
	"chunk without a size":           okLine + named + chunky + "\r\nok\r\n0\r\n\r\n",
	"chunk with a negative size":     okLine + named + chunky + "-2\r\nok\r\n0\r\n\r\n",
	"chunk with a prefixed size":     okLine + named + chunky + "0x2\r\nok\r\n0\r\n\r\n",
	"chunk of too large a size":      okLine + named + chunky + "10000000000000002\r\nok\r\n0\r\n\r\n",
	"no last chunk":                  okLine + named + chunky + "2\r\nok\r\n",
	"cut behind the last chunk":      okLine + named + chunky + okEnd,
	"cut in the trailer":             okLine + named + chunky + okEnd + "X-T: a\r\n",
	"blank in a name of the trailer": okLine + named + chunky + okEnd + "X T: a\r\n\r\n",
	"blank behind one":               okLine + named + chunky + okEnd + "X-T : a\r\n\r\n",
	"no colon in the trailer":        okLine + named + chunky + okEnd + "X-T\r\n\r\n",
	"NUL in the trailer":             okLine + named + chunky + okEnd + "X-T: \x00\r\n\r\n",
	"trailer begins with a blank":    okLine + named + chunky + okEnd + " X-T: a\r\n\r\n",

	"other request, blank in a name": okLine + "X-Id: {other}\r\nX-Seal: s\r\nX Bad: 1\r\n" + okSized + okLine + named + okSized,
	"other request, cut trailer":     okLine + "X-Id: {other}\r\nX-Seal: s\r\n" + chunky + okEnd + "X T: a\r\n\r\n" + okLine + named + okSized,
}

// wholeAnswers are answers with the body ok that the protocol allows, or allows a client to
// accept.
var wholeAnswers = map[string]string{
	"with a length":        okLine + named + okSized,
	"in chunks":            okLine + named + chunky + okEnd + "\r\n",
	"to the end":           okLine + named + "\r\nok",
	"HTTP/1.0":             "HTTP/1.0 200 OK\r\n" + named + "\r\nok",
	"no reason":            "HTTP/1.1 200 \r\n" + named + okSized,
	"no blank behind 200":  "HTTP/1.1 200\r\n" + named + okSized,
	"lines end with LF":    strings.ReplaceAll(okLine+named+okSized, "\r\n", "\n"),
	"same length twice":    okLine + named + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
	"bytes beyond ASCII":   okLine + named + "X-A: \xc3\xa9\r\n" + okSized,
	"tab in a value":       okLine + named + "X-A: a\tb\r\n" + okSized,
	"empty value":          okLine + named + "X-A:\r\n" + okSized,
	"colons in a value":    okLine + named + "X-A: b: c:d\r\n" + okSized,
	"any character":        okLine + named + "X-!#$%&'*+-.^_`|~9: a\r\n" + okSized,
	"continued value":      okLine + "X-Id:\r\n {id}\r\nX-Seal: s\r\n" + okSized,
	"chunk with extension": okLine + named + chunky + "2;a=b\r\nok\r\n0\r\n\r\n",
	"trailer":              okLine + named + chunky + okEnd + "X-T: a\r\nX-U:\r\n\r\n",
	"interim answers":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okLine + named + okSized,
	"behind another":       okLine + "X-Id: {other}\r\nX-Seal: s\r\n" + chunky + okEnd + "X-T: a\r\n\r\n" + okLine + named + okSized,
}

// scripts runs f for each of the ways in which an answer is read: of a server that names the
// request and of one that does not, to a request and to a health check, which has no id, on new
// connections and on kept ones.
func scripts(f func(s script)) {
	for _, s := range []script{
		{name: "request", parse: parseHead, id: requestID},
		{name: "health check", parse: parseHead},
		{name: "request, no dialect", id: requestID},
	} {
		f(s)
		s.name += ", kept connection"
		s.kept = true
		f(s)
	}
}

// TestMalformedAnswer guards against an answer that is made out of bytes that the protocol does
// not allow as one, whoever reads it.
func TestMalformedAnswer(t *testing.T) {
	scripts(func(s script) {
		for name, data := range malformedAnswers {
			s := s.withData(unnamed(s, data))
			if a, err := s.do(); err == nil {
				t.Errorf("%s, %s: status %d, header %v, body %q", s.name, name, a.StatusCode, a.Header, a.BodyBytes)
			}
		}
	})
}

// TestWholeAnswer checks that answers are read that the protocol allows.
func TestWholeAnswer(t *testing.T) {
	scripts(func(s script) {
		for name, data := range wholeAnswers {
			if s.parse == nil && name == "behind another" || s.id == "" && s.kept {
				continue // the answer is not told apart from one to another request
			}
			s := s.withData(unnamed(s, data))
			a, err := s.do()
			if err != nil || a.StatusCode != http.StatusOK || a.Verdict != author.Answered || string(a.BodyBytes) != "ok" {
				t.Errorf("%s, %s: %+v, body %q, error %v", s.name, name, a.Response, a.BodyBytes, err)
			}
		}
	})
}

// unnamed returns data for s: an answer to a health check names no request.
func unnamed(s script, data string) []byte {
	if s.id == "" {
		data = strings.NewReplacer("X-Id: {id}\r\n", "", "X-Id: {id}\n", "").Replace(data)
	}
	return []byte(data)
}

// TestExcessBodyEndsConnection guards against a body where there can be none that is taken for
// the start of the next answer.
func TestExcessBodyEndsConnection(t *testing.T) {
	for _, framing := range []string{"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"} {
		s := script{parse: parseHead, id: earlierID, kept: true, data: []byte("ok")}
		s.earlier = "HTTP/1.1 204 No Content\r\nX-Id: " + earlierID + "\r\nX-Seal: s\r\n" + framing + "\r\n"
		if a, err := s.do(); err != nil || a.StatusCode != http.StatusNoContent {
			t.Errorf("%s: %+v, error %v", framing, a.Response, err)
		}
	}
}
