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

// Client is a client of the admin interface of a node.
type Client struct {
	Addr string       // host:port
	HTTP *http.Client // nil for http.DefaultClient
}

// maxAnswerBytes bounds the body of a response.
const maxAnswerBytes = 32 << 20

// Status returns the status of the nodes in scope.
func (c Client) Status(ctx context.Context, scope Scope) (Status, error) {
	return c.status(ctx, url.Values{"scope": {string(scope)}})
}

// StatusWithSettings is like Status, and includes the values of all settings.
func (c Client) StatusWithSettings(ctx context.Context, scope Scope) (Status, error) {
	return c.status(ctx, url.Values{"scope": {string(scope)}, "settings": {"true"}})
}

func (c Client) status(ctx context.Context, q url.Values) (Status, error) {
	var s Status
	return s, c.do(ctx, http.MethodGet, "/v1/status?"+q.Encode(), nil, &s)
}

// Explain returns the events about a subject that the nodes in scope have in
// their journals.
func (c Client) Explain(ctx context.Context, subject string, scope Scope) (Explanation, error) {
	var e Explanation
	q := url.Values{"scope": {string(scope)}, "subject": {subject}}
	return e, c.do(ctx, http.MethodGet, "/v1/explain?"+q.Encode(), nil, &e)
}

// Drain starts a planned stop of the node with the given name or id. If name is
// empty, it is the node at Addr.
func (c Client) Drain(ctx context.Context, name string) error {
	q := url.Values{"node": {name}}
	return c.do(ctx, http.MethodPost, "/v1/drain?"+q.Encode(), nil, &struct{}{})
}

// Announce announces a backend server to its node.
func (c Client) Announce(ctx context.Context, b gate.Backend) error {
	return c.do(ctx, http.MethodPost, "/v1/announce", b, &struct{}{})
}

// MarkBackendLeaving tells the node that its backend server accepts no new calls.
func (c Client) MarkBackendLeaving(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, "/v1/leave", nil, &struct{}{})
}

// do sends body as JSON, if it is not nil, and decodes the JSON response into
// dst.
func (c Client) do(ctx context.Context, method, path string, body, dst any) error {
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
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
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
