package vers

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"tanagerchute/core/routes"
)

// Version is one accepted state of the configuration. It is immutable.
type Version struct {
	Number  uint64    `json:"number"`
	Digest  string    `json:"digest"` // hex SHA-256 over number, parent and content
	Parent  string    `json:"parent"` // digest of version Number-1, empty for the first
	Op      string    `json:"op"`     // id of the apply operation that wrote it
	Author  string    `json:"author"`
	At      time.Time `json:"at"` // time of the apply, from the operator's clock
	Content []byte    `json:"content,omitempty"`
}

// New returns the version that follows parent, which is a zero Version for the
// first one.
func New(parent Version, op, author string, at time.Time, content []byte) Version {
	v := Version{
		Number:  parent.Number + 1,
		Parent:  parent.Digest,
		Op:      op,
		Author:  author,
		At:      at,
		Content: content,
	}
	v.Digest = v.computeDigest()
	return v
}

// NewExternal returns a version whose number was assigned by an external system.
// It has no parent.
func NewExternal(number uint64, at time.Time, content []byte) Version {
	v := Version{Number: number, At: at, Content: content}
	v.Digest = v.computeDigest()
	return v
}

// computeDigest hashes number, parent and content.
func (v Version) computeDigest() string {
	h := sha256.New()
	fmt.Fprintf(h, "%d\n%s\n", v.Number, v.Parent)
	h.Write(v.Content)
	return hex.EncodeToString(h.Sum(nil))
}

// WithContent returns v with its content replaced, as after decoding a delta.
func (v Version) WithContent(content []byte) Version {
	v.Content = content
	return v
}

// WithoutContent returns v without its content.
func (v Version) WithoutContent() Version { return v.WithContent(nil) }

// Verify returns an error if the number is 0 or the digest does not match the
// version.
func (v Version) Verify() error {
	if v.Number == 0 {
		return fmt.Errorf("version number 0 is not valid")
	}
	if d := v.computeDigest(); d != v.Digest {
		return fmt.Errorf("version %d: digest %.12s does not match the content, whose digest is %.12s", v.Number, v.Digest, d)
	}
	return nil
}

// stampDigestLen is the number of hex digits of the digest in a stamp. It is
// short because every exchange between nodes carries stamps. Verify checks the
// whole digest once the version has been fetched.
const stampDigestLen = 16

// Stamp identifies a version by its number and a prefix of its digest.
type Stamp struct {
	Number uint64
	Digest string // the first digits of the version's digest
}

// Stamp returns the stamp of v.
func (v Version) Stamp() Stamp { return Stamp{v.Number, shortDigest(v.Digest)} }

// shortDigest returns the prefix of a digest that a stamp holds.
func shortDigest(digest string) string { return digest[:min(len(digest), stampDigestLen)] }

// After reports whether s is a later version than o.
func (s Stamp) After(o Stamp) bool { return s.Number > o.Number }

// MaxContentBytes bounds the content of a version of any format.
const MaxContentBytes = 1 << 20

// Snapshot is a version with the routing table that it compiles to.
type Snapshot struct {
	Version Version
	Table   *routes.Table
}
