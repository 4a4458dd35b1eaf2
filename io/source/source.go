package source

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/vers"
)

// Config configures a Source.
type Config struct {
	Store tanagerchute.Store
	Key   string // that holds the document
	// Number returns the version number that a document bears.
	ParseNumber func(content []byte) (uint64, error)
}

// Source reads the document. It is safe for concurrent use.
type Source struct {
	cfg Config
}

var _ tanagerchute.Source = (*Source)(nil)

// New returns a source.
func New(cfg Config) *Source { return &Source{cfg: cfg} }

// Head implements tanagerchute.Source.
func (s *Source) Head(ctx context.Context, _ tanagerchute.VersionLookup) (tanagerchute.Head, error) {
	kv, rev, err := s.cfg.Store.Get(ctx, s.cfg.Key)
	if err != nil {
		return tanagerchute.Head{}, err
	}
	h := tanagerchute.Head{ModRevision: kv.ModRevision, Revision: rev}
	if kv.ModRevision == 0 {
		return h, nil
	}
	h.Version, err = s.version(kv.Value)
	return h, err
}

// Watch implements tanagerchute.Source.
func (s *Source) Watch(ctx context.Context, _ tanagerchute.VersionLookup, revision int64, ready func(), f func(vers.Version, error)) error {
	return s.cfg.Store.Watch(ctx, s.cfg.Key, revision, ready, func(e tanagerchute.Event) {
		if e.Deleted {
			f(vers.Version{}, errors.Errorf("the key %s was deleted", s.cfg.Key))
			return
		}
		f(s.version(e.KV.Value))
	})
}

// Restore implements tanagerchute.Source. The document is not the product's to
// write.
func (s *Source) Restore(context.Context, vers.Version, tanagerchute.Head) (bool, error) {
	return false, nil
}

func (s *Source) version(content []byte) (vers.Version, error) {
	n, err := s.cfg.ParseNumber(content)
	if err != nil {
		return vers.Version{}, errors.Wrapf(err, "document at %s", s.cfg.Key)
	}
	return vers.NewExternal(n, time.Time{}, content), nil
}
