package drift

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
)

// instanceKeys are the keys, or prefixes of keys up to a dot, of the settings that
// differ from instance to instance.
var instanceKeys = []string{"name", "data_centre", "region", "service", "listen", "backend", "first_start", "link"}

// digestBytes is the number of bytes of a digest, which is written in hexadecimal.
const digestBytes = 6

// Settings are the settings of one node. They are immutable.
type Settings struct {
	values map[string]string
	digest string
}

// NewSettings returns settings with the given values by key. Parts of a key are
// separated by dots.
func NewSettings(values map[string]string) Settings {
	s := Settings{values: maps.Clone(values)}
	h := sha256.New()
	for _, k := range slices.Sorted(maps.Keys(s.values)) {
		if !isInstanceKey(k) {
			h.Write([]byte(k + "=" + s.values[k] + "\n"))
		}
	}
	s.digest = hex.EncodeToString(h.Sum(nil)[:digestBytes])
	return s
}

// isInstanceKey reports whether the values of a key differ from instance to
// instance.
func isInstanceKey(key string) bool {
	return slices.ContainsFunc(instanceKeys, func(k string) bool { return key == k || strings.HasPrefix(key, k+".") })
}

// Digest returns the digest of the values that should be the same at all nodes.
func (s Settings) Digest() string { return s.digest }

// Values returns a copy of the values by key.
func (s Settings) Values() map[string]string { return maps.Clone(s.values) }

// Change is a key whose value differs between two nodes.
type Change struct {
	Key      string `json:"key"`
	Old      string `json:"old"` // empty if the key is not set
	New      string `json:"new"`
	Instance bool   `json:"instance,omitempty"` // the value is expected to differ from instance to instance
}

// Diff returns the keys whose values differ between a and b, sorted by key.
func Diff(a, b Settings) []Change {
	keys := map[string]bool{}
	for k := range a.values {
		keys[k] = true
	}
	for k := range b.values {
		keys[k] = true
	}
	var out []Change
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if a.values[k] != b.values[k] {
			out = append(out, Change{Key: k, Old: a.values[k], New: b.values[k], Instance: isInstanceKey(k)})
		}
	}
	return out
}
