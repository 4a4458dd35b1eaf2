package proxy

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/call"
	"tanagerchute/core/room"
	"tanagerchute/io/memory"
)

const (
	// bodyWaitShare is the share of the time left that the body of a request waits for
	// memory. The request needs the rest.
	bodyWaitShare = 0.5
	// peerBodyWait bounds the wait of the body of a call from another node. That node holds
	// the body meanwhile, so that two nodes whose bodies fill each other's memory must not
	// wait for each other. Another upstream may have room.
	peerBodyWait = 100 * time.Millisecond
)

// bodyMemory asks for memory for the body of a caller's request.
func bodyMemory(c call.Call) memory.Request {
	now := time.Now()
	wait := time.Duration(bodyWaitShare * float64(c.Deadline.Sub(now)))
	return memory.Request{Call: c.ID, Class: room.Body, Until: now.Add(wait)}
}

// peerBodyMemory asks for memory for the body of a call from another node.
func peerBodyMemory(c call.Call) memory.Request {
	return memory.Request{Call: c.ID, Class: room.Body, Until: time.Now().Add(peerBodyWait)}
}

// answerMemory asks for memory for the answer to a call. The call has run, so that its
// answer waits for as long as anybody does.
func answerMemory(c call.Call) memory.Request {
	return memory.Request{Call: c.ID, Class: room.Answer, Until: c.Deadline}
}

// refuseForMemory returns the refusal of a call for whose body there is no memory, nil if
// err is another error. No part of the call has run.
func (p *Proxy) refuseForMemory(err error) *call.Reply {
	var full *memory.FullError
	if !errors.As(err, &full) {
		return nil
	}
	r := call.Refuse(call.NotRun, call.CauseMemoryFull, p.spread(full.RetryAfter))
	r.Load = p.cfg.Gate.Load()
	return &r
}

// rejectBody returns the rejection of a request whose body could not be read.
func (p *Proxy) rejectBody(r *http.Request, c call.Call, err error) *rejection {
	refusal := p.refuseForMemory(err)
	switch {
	case refusal != nil && refusal.RetryAfter == 0:
		return newRejection(http.StatusRequestEntityTooLarge, "the node has not enough memory for the body")
	case refusal != nil:
		if p.hasKey(c, r.Header) {
			*refusal = withUnknownFate(*refusal)
		}
		return &rejection{refusal: refusal, unread: true}
	case errors.Is(err, memory.ErrTooLong):
		return newRejection(http.StatusRequestEntityTooLarge, errBodyTooLarge.Error())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return newRejection(http.StatusRequestTimeout, "the body did not arrive before the deadline")
	}
	return newRejection(http.StatusBadRequest, "body was cut short")
}
