package proxy

import (
	"net/http"
	"testing"

	"tanagerchute"
	"tanagerchute/core/author"
	"tanagerchute/core/call"
	"tanagerchute/io/native"
)

// markedDialect is a dialect whose backend servers name the request in each answer and mark
// it.
type markedDialect struct{ native.Dialect }

func (markedDialect) AnswerRules() author.Rules {
	return author.Rules{NamesRequest: true, PromisesByStatus: true}
}

func (markedDialect) ParseResponse(res *http.Response) tanagerchute.ResponseInfo {
	return tanagerchute.ResponseInfo{ID: res.Header.Get("X-Id"), Marked: res.Header.Get("X-Seal") != ""}
}

// TestForeignAnswerOfOtherNode guards against an answer that another node passes on, for
// example one of an earlier release, and that is not shown to be one of its backend server.
func TestForeignAnswerOfOtherNode(t *testing.T) {
	p := &Proxy{cfg: Config{Dialect: markedDialect{}}}
	c := call.Call{ID: "a"}
	for _, v := range []struct {
		name   string
		status int
		id     string
		seal   string
		ok     bool
	}{
		{"whole", 200, "a", "s", true},
		{"failure", 500, "a", "s", true},
		{"without a mark", 200, "a", "", false},
		{"to another call", 200, "b", "s", false},
		{"names no call", 200, "", "s", false},
		{"promise", 503, "a", "s", false},
		{"no status", 0, "a", "s", false},
	} {
		h := http.Header{"X-Id": {v.id}, "X-Seal": {v.seal}}
		err := p.judgeReply(c, call.Reply{Fate: call.Answered, Status: v.status, Header: h})
		if (err == nil) != v.ok {
			t.Errorf("%s: %v", v.name, err)
		}
	}
	if err := p.judgeReply(c, call.Refuse(call.NotRun, call.CauseDraining, 0)); err != nil {
		t.Errorf("refusal of the node itself: %v", err)
	}
}
