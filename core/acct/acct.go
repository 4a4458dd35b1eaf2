package acct

import (
	"crypto/sha256"
	"math"

	"github.com/go-faster/errors"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

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
	case !(q.Rate >= 0) || math.IsInf(q.Rate, 0):
		return errors.Errorf("rate %v is not a finite number of at least 0", q.Rate)
	case !(q.Burst >= 0) || math.IsInf(q.Burst, 0):
		return errors.Errorf("burst %v is not a finite number of at least 0", q.Burst)
	case q.Burst > 0 && q.Rate == 0:
		return errors.Errorf("burst %v has no rate", q.Burst)
	}
	return nil
}

// Account is a client account. It is immutable.
type Account struct {
	Name string
	// Priority takes precedence over that of the route, if HasPriority is set. A lower
	// value is more important.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Directory is the set of the accounts of one configuration version. It is
// immutable.
type Directory struct {
	byName   map[string]*Account
	byDigest map[Digest]*Account
}

// Find returns the account that holds the key with the given digest. The time that it
// takes does not depend on the key, since only digests are compared.
func (d *Directory) Find(key Digest) (*Account, bool) {
	a, ok := d.byDigest[key]
	return a, ok
}

// Account returns the account with the given name.
func (d *Directory) Account(name string) (*Account, bool) {
	a, ok := d.byName[name]
	return a, ok
}

// Len returns the number of accounts.
func (d *Directory) Len() int { return len(d.byName) }

// Builder builds a Directory.
type Builder struct{ d *Directory }

// NewBuilder returns an empty builder.
func NewBuilder() *Builder {
	return &Builder{&Directory{byName: map[string]*Account{}, byDigest: map[Digest]*Account{}}}
}

// Add adds an account with its keys. It returns an error, which holds no key, if the
// account is not valid, or if another one has the same name or one of the keys.
func (b *Builder) Add(a Account, keys []string) error {
	if a.Name == "" {
		return errors.New("account has no name")
	}
	if _, ok := b.d.byName[a.Name]; ok {
		return errors.Errorf("account %q is defined twice", a.Name)
	}
	if err := a.Quota.Validate(); err != nil {
		return errors.Wrapf(err, "account %q", a.Name)
	}
	b.d.byName[a.Name] = &a
	for i, k := range keys {
		if k == "" {
			return errors.Errorf("key %d of account %q is empty", i+1, a.Name)
		}
		digest := DigestOf(k)
		if other, ok := b.d.byDigest[digest]; ok && other.Name != a.Name {
			return errors.Errorf("key %d of account %q is also a key of account %q", i+1, a.Name, other.Name)
		}
		b.d.byDigest[digest] = &a
	}
	return nil
}

// Build returns the directory. The builder must not be used after that.
func (b *Builder) Build() *Directory { return b.d }
