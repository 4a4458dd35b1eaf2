package crash

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Work identifies the work that a request asks for, whatever its request id. It is 0 if
// it is not known.
type Work uint64

// String returns w as it is written in events.
func (w Work) String() string { return strconv.FormatUint(uint64(w), 16) }

// Request holds what two requests for the same work have in common.
type Request struct {
	Caller string // service of the caller, empty if it is not known
	Method string
	Host   string
	Path   string // with the query
	Body   []byte
}

// Identify returns the identity of the work that r asks for.
func Identify(r Request) Work {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{r.Caller, r.Method, r.Host, r.Path} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return Work(max(d.Sum64(), 1))
}

// hashEnd returns a hash of an end under a work, without its time.
func hashEnd(w Work, e KnownEnd) uint64 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(w))
	binary.LittleEndian.PutUint64(b[8:16], uint64(e.ID))
	if e.Cleared {
		b[16] = 1
	}
	return xxhash.Sum64(b[:])
}
