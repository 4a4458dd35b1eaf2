package ledger

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/delta"
	"tanagerchute/core/vers"
)

// record is the value of a version in the store.
type record struct {
	Number uint64    `json:"number"`
	Digest string    `json:"digest"`
	Parent string    `json:"parent,omitempty"`
	Op     string    `json:"op"`
	Author string    `json:"author,omitempty"`
	At     time.Time `json:"at"`
	Base   string    `json:"base,omitempty"` // digest of the version that Delta is based on
	Delta  []byte    `json:"delta"`
}

// errUnknownBase means that the base of a delta was not found by the lookup.
var errUnknownBase = errors.New("base of the delta is not known")

// encodeRecord returns the stored form of v, as a delta to base if that has content.
func encodeRecord(v, base vers.Version) ([]byte, error) {
	d, err := delta.Encode(base.Content, v.Content)
	if err != nil {
		return nil, err
	}
	r := record{Number: v.Number, Digest: v.Digest, Parent: v.Parent, Op: v.Op, Author: v.Author, At: v.At, Delta: d}
	if len(base.Content) > 0 {
		r.Base = base.Digest
	}
	return json.Marshal(r)
}

// header returns the version of r without its content.
func (r record) header() vers.Version {
	return vers.Version{Number: r.Number, Digest: r.Digest, Parent: r.Parent, Op: r.Op, Author: r.Author, At: r.At}
}

func decodeRecord(data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, errors.Wrap(err, "decode record")
	}
	return r, nil
}

// decodeVersion returns the version of r. lookup finds the base of its delta. If that
// fails, the returned version has no content.
func (r record) decodeVersion(lookup tanagerchute.VersionLookup) (vers.Version, error) {
	var base vers.Version
	if r.Base != "" {
		var ok bool
		if base, ok = lookup(r.Base); !ok {
			return r.header(), errUnknownBase
		}
	}
	content, err := delta.Decode(base.Content, r.Delta, vers.MaxContentBytes)
	if err != nil {
		return r.header(), errors.Wrapf(err, "version %d", r.Number)
	}
	return r.header().WithContent(content), nil
}
