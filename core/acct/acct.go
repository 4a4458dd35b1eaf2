package acct

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"strings"

	"github.com/go-faster/errors"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses a digest in hex. The error does not repeat the text, which may
// be a key that is in the wrong place.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(d) {
		return d, errors.Errorf("is not a SHA-256 digest of %d hex digits", 2*len(d))
	}
	copy(d[:], b)
	return d, nil
}

// maxRate bounds the rate and the burst of a quota.
const maxRate = 1e9

// Quota bounds the requests of an account that all nodes together serve. The zero
// Quota is no bound.
type Quota struct {
	Rate  float64 // requests a second
	Burst float64 // requests beyond Rate that can be saved up
}

// Limited reports whether q is a bound.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Validate returns an error if q is not a possible quota.
func (q Quota) Validate() error {
	switch {
	case !validRate(q.Rate):
		return errors.Errorf("rate %v is not between 0 and %v", q.Rate, maxRate)
	case !validRate(q.Burst):
		return errors.Errorf("burst %v is not between 0 and %v", q.Burst, maxRate)
	case q.Burst > 0 && q.Rate == 0:
		return errors.Errorf("burst %v has no rate", q.Burst)
	}
	return nil
}

// validRate reports whether r is between 0 and maxRate. It is false for NaN.
func validRate(r float64) bool { return r >= 0 && r <= maxRate && !math.IsNaN(r) }

// Account is a client account. It is immutable.
type Account struct {
	Name string
	// Priority takes precedence over that of the route, if HasPriority is set. A lower
	// value is more important.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// maxNameBytes bounds the name of an account.
const maxNameBytes = 256

// validateName returns an error if name can't be sent in a header.
func validateName(name string) error {
	if name == "" {
		return errors.New("is empty")
	}
	if len(name) > maxNameBytes {
		return errors.Errorf("has more than %d bytes", maxNameBytes)
	}
	if name != strings.TrimSpace(name) || strings.ContainsFunc(name, isControl) {
		return errors.Errorf("%q begins or ends with a space, or has a control character", name)
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// MaxKeyBytes bounds the length of a key.
const MaxKeyBytes = 4096

// Credential is what a request says about its account. It holds no key.
type Credential struct {
	State CredentialState
	Key   Digest // of the key, if State is Presented
}

// CredentialState says whether a request carries a key.
type CredentialState int

// States of a credential.
const (
	Absent    CredentialState = iota // the request carries no credential
	Malformed                        // more than one credential, or one that is not a key
	Presented                        // one key, which may be unknown
)

// NewCredential returns the credential of a request that carries key.
func NewCredential(key string) Credential {
	if key == "" || len(key) > MaxKeyBytes {
		return Credential{State: Malformed}
	}
	return Credential{State: Presented, Key: DigestOf(key)}
}

// ParseCredential returns the credential in the values of an Authorization header
// whose scheme has the given name, such as Bearer.
func ParseCredential(scheme string, values []string) Credential {
	if len(values) == 0 {
		return Credential{}
	}
	name, key, ok := strings.Cut(values[0], " ")
	if len(values) > 1 || !ok || !strings.EqualFold(name, scheme) {
		return Credential{State: Malformed}
	}
	return NewCredential(strings.TrimSpace(key))
}
