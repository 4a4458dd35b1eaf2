package once

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 128

// MaxSkew is how far a caller's clock may be ahead of a node's.
const MaxClockSkew = 2 * time.Second

// Key names a piece of work.
type Key struct {
	ID     string
	Issued time.Time // zero if the key does not say
	// DataCentre is where the key wants to be recorded, empty if it does not say.
	DataCentre string
}

// WithIssued returns k with the time at which it was issued.
func (k Key) WithIssued(t time.Time) Key {
	k.Issued = t
	return k
}

// NewID returns a fresh id that carries its issue time.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// ParseKey reads an idempotency key. A UUID of version 7 carries its issue
// time, and may be preceded by the name of a data centre and a dot. Any other
// key is opaque: its Issued is zero.
func ParseKey(s string, now time.Time, centres []string) (Key, error) {
	if s == "" || len(s) > maxKeyBytes {
		return Key{}, fmt.Errorf("idempotency key has %d bytes, wants 1 to %d", len(s), maxKeyBytes)
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return Key{}, fmt.Errorf("idempotency key holds the byte %#02x", c)
		}
	}
	k := Key{ID: s}
	rest := s
	for _, c := range centres {
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
