// Package field checks and parses the lines of which the heads and trailers of HTTP/1.1
// answers consist.
//
// A faulty server may send lines that look like a head. A reader that is tolerant about
// them guesses what was meant: a Content-Length with a blank after its name is an unknown
// field to one reader and the length of the body to the next. So an answer with a line that
// the protocol does not allow is no answer. What RFC 9112 lets a recipient accept is
// accepted: lines that end with a bare line feed, values that are continued on the next
// line, and a status line without a reason.
//
// # Usage
//
//	status, err := field.ParseStatus(line)
//	…
//	if err := field.CheckLine(line, isFirst); err != nil {
//		return err
//	}
//	…
//	h := field.Header(lines)
//	…
//	err = field.CheckNames(res.Header) // of an answer that net/http has read
package field
