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
	Key   string // key of the document
	// ParseNumber returns the version number in a document.
	ParseNumber func(content []byte) (uint64, error)
}

// Source reads the versions of a document. It is safe for concurrent use.
type Source struct {
	cfg Config
}

var _ tanagerchute.Source = (*Source)(nil)

// New returns a Source.
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
	h.Version, err = s.parse(kv.Value)
	return h, err
}

// Unchanged implements tanagerchute.Source.
func (s *Source) Unchanged(ctx context.Context, head tanagerchute.Head) (tanagerchute.Head, bool, error) {
	same, rev, err := s.cfg.Store.Unchanged(ctx, s.cfg.Key, head.ModRevision, head.Revision)
	return head.WithRevision(rev), same, err
}

// Watch implements tanagerchute.Source.
func (s *Source) Watch(ctx context.Context, _ tanagerchute.VersionLookup, revision tanagerchute.Revision, ready func(), f func(vers.Version, error)) error {
	return s.cfg.Store.Watch(ctx, s.cfg.Key, revision, ready, func(e tanagerchute.Event) {
		if e.Deleted {
			f(vers.Version{}, errors.Errorf("key %s was deleted", s.cfg.Key))
			return
		}
		f(s.parse(e.KV.Value))
	})
}

// Restore implements tanagerchute.Source. It writes nothing and returns false,
// since another system owns the document.
func (s *Source) Restore(context.Context, vers.Version, tanagerchute.Head) (bool, error) {
	return false, nil
}

// parse returns the version of a document.
func (s *Source) parse(content []byte) (vers.Version, error) {
	n, err := s.cfg.ParseNumber(content)
	if err != nil {
		return vers.Version{}, errors.Wrapf(tanagerchute.ErrUnreadable, "document at %s: %v", s.cfg.Key, err)
	}
	return vers.NewExternal(n, time.Time{}, content), nil
}
