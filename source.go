package tanagerchute

import (
	"context"

	"tanagerchute/core/vers"
)

// VersionLookup returns the version with the given digest, or false if it is not
// held in memory.
type VersionLookup func(digest string) (vers.Version, bool)

// Head is the newest version of the configuration, as read from a Source.
type Head struct {
	Version     vers.Version // number 0 if there is none
	ModRevision int64        // store revision of the last change of its key, of the era of Revision, 0 if there is none
	Revision    Revision     // store revision at which it was read
}

// WithRevision returns h as read at a later revision, at which it was unchanged.
func (h Head) WithRevision(r Revision) Head {
	h.Revision = r
	return h
}

// Source provides the versions of the configuration. They are kept in the store,
// either as the history that tanagerchute itself writes, or as a document that
// another system writes and versions. The methods return the errors of Store,
// wrapped.
type Source interface {
	// Head reads the newest version. lookup finds the version that a stored
	// delta is based on. With ErrUnreadable, it returns a head with its revisions
	// and without a version.
	Head(ctx context.Context, lookup VersionLookup) (Head, error)
	// Unchanged reports, by a linearizable call, whether head is still the newest
	// version. If it is, the call returns head with the current store revision.
	Unchanged(ctx context.Context, head Head) (now Head, same bool, err error)
	// Watch calls f with each new version from the given store revision on, or
	// with an error for a version that can't be read. It calls ready once the
	// watch is established. It returns when ctx ends, the store fails or its era changes.
	Watch(ctx context.Context, lookup VersionLookup, revision Revision, ready func(), f func(vers.Version, error)) error
	// Restore writes a version that was in force and that the store has lost
	// back to the store, unless the store has changed since head was read. It
	// reports whether it wrote the version. A read-only source reports false.
	Restore(ctx context.Context, v vers.Version, head Head) (bool, error)
}
