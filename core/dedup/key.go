package dedup

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 128

// MaxClockSkew is how far the clock of the issuer of a key may be ahead of a
// node's.
const MaxClockSkew = 2 * time.Second

// Key identifies a piece of work.
type Key struct {
	ID     string
	Issued time.Time // zero if the key does not carry it
	// DataCentre is the data centre in which the key has to be recorded, empty
	// if the key does not name one.
	DataCentre string
}

// WithIssued returns k with the time at which it was issued.
func (k Key) WithIssued(t time.Time) Key {
	k.Issued = t
	return k
}

// NewID returns a new unique id that carries the time of its issue.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// ParseKey parses an idempotency key. A UUID of version 7 carries the time of
// its issue, and may be preceded by the name of a data centre and a dot. Any
// other key is opaque, and its Issued is zero.
func ParseKey(s string, now time.Time, dataCentres []string) (Key, error) {
	if s == "" || len(s) > maxKeyBytes {
		return Key{}, fmt.Errorf("idempotency key has %d bytes, want 1 to %d", len(s), maxKeyBytes)
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return Key{}, fmt.Errorf("idempotency key contains the invalid byte %#02x", c)
		}
	}
	k := Key{ID: s}
	rest := s
	for _, c := range dataCentres {
		if after, ok := strings.CutPrefix(s, c+"."); ok {
			k.DataCentre, rest = c, after
		}
	}
	u, err := uuid.Parse(rest)
	if err != nil || u.Version() != 7 || len(rest) != 36 {
		return k, nil
	}
	sec, nsec := u.Time().UnixTime()
	k.Issued = time.Unix(sec, nsec)
	if k.Issued.After(now.Add(MaxClockSkew)) {
		return Key{}, fmt.Errorf("idempotency key was issued %v in the future", k.Issued.Sub(now).Round(time.Second))
	}
	return k, nil
}
