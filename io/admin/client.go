package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"tanagerchute/io/gate"
)

// Client talks to the admin interface of a node.
type Client struct {
	Addr string // host:port
	HTTP *http.Client
}

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 32 << 20

// Status asks for the state of the nodes in scope.
func (c Client) Status(ctx context.Context, scope Scope) (Status, error) {
	var s Status
	q := url.Values{"scope": {string(scope)}}
	return s, c.call(ctx, http.MethodGet, "/v1/status?"+q.Encode(), nil, &s)
}

// Explain asks for the events about a subject.
func (c Client) Explain(ctx context.Context, subject string, scope Scope) (Explanation, error) {
	var e Explanation
	q := url.Values{"scope": {string(scope)}, "subject": {subject}}
	return e, c.call(ctx, http.MethodGet, "/v1/explain?"+q.Encode(), nil, &e)
}

// Drain stops the node called name, or the one that is asked if it is empty.
func (c Client) Drain(ctx context.Context, name string) error {
	q := url.Values{"node": {name}}
	return c.call(ctx, http.MethodPost, "/v1/drain?"+q.Encode(), nil, &struct{}{})
}

// Announce announces a backend server to its node.
func (c Client) Announce(ctx context.Context, b gate.Backend) error {
	return c.call(ctx, http.MethodPost, "/v1/announce", b, &struct{}{})
}

// MarkBackendLeaving tells the node that its backend server takes no new work.
func (c Client) MarkBackendLeaving(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/v1/leave", nil, &struct{}{})
}

func (c Client) call(ctx context.Context, method, path string, body, dst any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	h := c.HTTP
	if h == nil {
		h = http.DefaultClient
	}
	res, err := h.Do(req)
	if err != nil {
		return errors.Wrapf(err, "node %s", c.Addr)
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return errors.Wrapf(err, "node %s", c.Addr)
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("node %s: %s", c.Addr, strings.TrimSpace(string(answer)))
	}
	if err := json.Unmarshal(answer, dst); err != nil {
		return errors.Wrapf(err, "node %s", c.Addr)
	}
	return nil
}
