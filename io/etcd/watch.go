package etcd

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"tanagerchute"
)

// Watch implements tanagerchute.Store.
func (c *Client) Watch(ctx context.Context, key string, revision tanagerchute.Revision, ready func(), f func(tanagerchute.Event)) error {
	ctx, cancel := c.eras.WatchContext(ctx, revision.Era)
	defer cancel()
	err := c.streamWatch(ctx, key, revision.Number, ready, f)
	if cause := context.Cause(ctx); cause != nil {
		return errors.Wrapf(cause, "watch %s", key)
	}
	return err
}

// streamWatch reads the stream of one watch until it ends or ctx does.
func (c *Client) streamWatch(ctx context.Context, key string, revision int64, ready func(), f func(tanagerchute.Event)) error {
	req := WatchRequest{Create: WatchCreate{Key: []byte(key), StartRevision: revision}}
	if strings.HasSuffix(key, "/") {
		req.Create.RangeEnd = PrefixEnd([]byte(key))
	}
	res, _, err := c.post(ctx, PathWatch, req)
	if err != nil {
		return errors.Wrapf(err, "watch %s", key)
	}
	defer res.Body.Close()
	messages := &stream{r: res.Body}
	dec := json.NewDecoder(messages)
	for {
		messages.left = maxResponseBytes
		var m WatchResponse
		if err := dec.Decode(&m); err != nil {
			return errors.Wrapf(tanagerchute.ErrUnavailable, "watch %s ended: %v", key, err)
		}
		if ctx.Err() != nil {
			return ctx.Err() // the message may be of another era
		}
		if m.Result.CompactRevision > 0 {
			return errors.Wrapf(tanagerchute.ErrCompacted, "watch %s from revision %d", key, revision)
		}
		if m.Result.Canceled {
			return errors.Wrapf(tanagerchute.ErrUnavailable, "watch %s canceled by the store", key)
		}
		if m.Result.Created {
			ready()
		}
		for _, e := range m.Result.Events {
			if !e.KV.complete() {
				return errors.Wrapf(tanagerchute.ErrUnavailable, "watch %s: event without a key or a revision", key)
			}
			f(tanagerchute.Event{KV: e.KV.kv(), Deleted: e.Type == "DELETE"})
		}
	}
}

// stream reads the messages of a watch. It fails if one has more than maxResponseBytes.
type stream struct {
	r    io.Reader
	left int64 // bytes that may be read before the next message
}

// Read implements io.Reader.
func (s *stream) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, errors.New("message is too large")
	}
	n, err := s.r.Read(b[:min(int64(len(b)), s.left)])
	s.left -= int64(n)
	return n, err
}
