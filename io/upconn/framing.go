package upconn

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// framing tells where the body of an answer ends, see RFC 9112, section 6.3.
type framing struct {
	kind   framingKind
	length int64 // of a sized body
	// excess reports that bytes may follow that belong to no answer, since a body is declared
	// where there can be none.
	excess bool
}

type framingKind int

const (
	noBody     framingKind = iota
	sized                  // it has a declared length
	chunked                // it ends with an empty chunk and a trailer
	untilClose             // it ends with the connection
)

// framingOf returns the framing of the body that follows h in an answer to a request with the given
// method. It returns an error if the head is ambiguous about it.
func framingOf(method string, h head) (framing, error) {
	coding, lengths := h.header["Transfer-Encoding"], h.header["Content-Length"]
	length, err := parseLength(lengths)
	switch {
	case err != nil:
		return framing{}, err
	case len(coding) > 0 && h.MinorVersion == 0:
		return framing{}, errors.New("transfer coding in an answer of HTTP/1.0")
	case len(coding) > 0 && len(lengths) > 0:
		return framing{}, errors.New("both a transfer coding and a length")
	case len(coding) > 0 && (len(coding) > 1 || !strings.EqualFold(coding[0], "chunked")):
		return framing{}, errors.Errorf("transfer coding %.40q is not supported", coding)
	}
	switch {
	case h.Code == http.StatusNoContent:
		return framing{excess: len(coding) > 0 || length > 0}, nil
	case method == http.MethodHead || h.isInterim() || h.Code == http.StatusNotModified:
		return framing{}, nil
	case len(coding) > 0:
		return framing{kind: chunked}, nil
	case len(lengths) > 0:
		return framing{kind: sized, length: length}, nil
	}
	return framing{kind: untilClose}, nil
}

// parseLength returns the declared length of a body. Several ones must be equal.
func parseLength(values []string) (int64, error) {
	if len(values) == 0 {
		return 0, nil
	}
	if len(slices.Compact(slices.Clone(values))) > 1 {
		return 0, errors.Errorf("lengths %.80q differ", values)
	}
	const base, bits = 10, 63
	n, err := strconv.ParseUint(values[0], base, bits)
	if err != nil {
		return 0, errors.Errorf("length %.40q is not a number of bytes", values[0])
	}
	return int64(n), nil
}

// declared returns the length of the body, negative if it is not known before its end.
func (f framing) declared() int64 {
	switch f.kind {
	case chunked, untilClose:
		return -1
	}
	return f.length
}
