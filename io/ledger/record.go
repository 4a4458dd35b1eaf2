package ledger

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/delta"
	"tanagerchute/core/vers"
)

// record is the stored form of a version.
type record struct {
	Number uint64    `json:"number"`
	Digest string    `json:"digest"`
	Parent string    `json:"parent,omitempty"`
	Op     string    `json:"op"`
	Author string    `json:"author,omitempty"`
	At     time.Time `json:"at"`
	Base   string    `json:"base,omitempty"` // digest of the version that Delta builds on
	Delta  []byte    `json:"delta"`
}

// errNoBase means that a delta builds on a version that is not at hand.
var errNoBase = errors.New("base of the delta is not known")

// encode returns the stored form of v, as a delta to base if that has content.
func encode(v, base vers.Version) ([]byte, error) {
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
		return record{}, errors.Wrap(err, "record is damaged")
	}
	return r, nil
}

// version decodes the whole version. known finds the base of a delta.
func (r record) version(known tanagerchute.VersionLookup) (vers.Version, error) {
	var base vers.Version
	if r.Base != "" {
		var ok bool
		if base, ok = known(r.Base); !ok {
			return r.header(), errNoBase
		}
	}
	content, err := delta.Decode(base.Content, r.Delta, vers.MaxContentBytes)
	if err != nil {
		return r.header(), errors.Wrapf(err, "version %d", r.Number)
	}
	return r.header().WithContent(content), nil
}
