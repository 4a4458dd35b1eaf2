package field

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// Statuses of answers, see RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// Status is the first line of an answer.
type Status struct {
	MinorVersion int // of HTTP/1
	Code         int
}

// versionPrefix is the start of a version with the major number 1.
const versionPrefix = "HTTP/1."

// ParseStatus parses the first line of an answer, which is given without its line end.
func ParseStatus(line string) (Status, error) {
	version, rest, _ := strings.Cut(line, " ")
	minor, ok := strings.CutPrefix(version, versionPrefix)
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return Status{}, errors.Errorf("version %.20q is not one of HTTP/1", version)
	}
	code, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	s := Status{MinorVersion: int(minor[0] - '0')}
	if s.Code, ok = parseCode(code); !ok {
		return Status{}, errors.Errorf("status %.20q is not between %d and %d", code, minStatus, maxStatus)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return Status{}, errors.New("reason of the status holds a control character")
	}
	return s, nil
}

// parseCode parses the three digits of a status.
func parseCode(s string) (code int, ok bool) {
	const digits = 3
	if len(s) != digits {
		return 0, false
	}
	for i := range digits {
		if !isDigit(s[i]) {
			return 0, false
		}
		code = 10*code + int(s[i]-'0')
	}
	return code, code >= minStatus && code <= maxStatus
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// CheckLine returns an error if a line after the status line, which is given without its
// line end, is neither a field nor the continuation of the field before it. first reports
// that there is none before it.
func CheckLine(line []byte, first bool) error {
	if continues(line) {
		if first {
			return errors.New("the first field begins with a blank")
		}
		return checkValue(line)
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return errors.Errorf("line %.40q has no colon", line)
	}
	if !isToken(name) {
		return errors.Errorf("%.40q is not a valid field name", name)
	}
	return checkValue(value)
}

// continues reports whether a line continues the value of the line before it.
func continues[T string | []byte](line T) bool {
	return len(line) > 0 && (line[0] == ' ' || line[0] == '\t')
}

// isToken reports whether name is a token, which is never empty.
func isToken[T string | []byte](name T) bool {
	for i := range len(name) {
		if !httpguts.IsTokenRune(rune(name[i])) {
			return false
		}
	}
	return len(name) > 0
}

// checkValue returns an error if a value holds a control character.
func checkValue(value []byte) error {
	const del = 0x7f
	for _, b := range value {
		if b < ' ' && b != '\t' || b == del {
			return errors.Errorf("value %.40q holds a control character", value)
		}
	}
	return nil
}

// Header returns the fields in lines that CheckLine accepts, each with its end. It refers to
// the text of the lines.
func Header(lines string) http.Header {
	h := http.Header{}
	var name string
	var value []string // of the last field, in the parts in which it came
	add := func() {
		if len(value) > 0 {
			h[name] = append(h[name], textproto.TrimString(strings.Join(value, " ")))
		}
	}
	for line := range strings.Lines(lines) {
		if continues(line) {
			value = append(value, textproto.TrimString(line))
			continue
		}
		add()
		key, first, _ := strings.Cut(line, ":")
		name, value = textproto.CanonicalMIMEHeaderKey(key), append(value[:0], textproto.TrimString(first))
	}
	add()
	return h
}

// CheckNames returns an error if h holds a field with a malformed name. net/http accepts
// blanks in names.
func CheckNames(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return errors.Errorf("%.40q is not a valid field name", name)
		}
	}
	return nil
}

// Single returns the value of the field with the given name. It is empty if h has none, or
// several, of which none can be told to be the one that is meant.
func Single(h http.Header, name string) string {
	values := h.Values(name)
	if len(values) != 1 {
		return ""
	}
	return values[0]
}
