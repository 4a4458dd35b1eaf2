package proxy

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/call"
	"tanagerchute/core/dedup"
	"tanagerchute/core/event"
	"tanagerchute/core/homes"
	"tanagerchute/core/pick"
	"tanagerchute/io/peer"
	"tanagerchute/io/runner"
	"tanagerchute/io/timer"
	"tanagerchute/io/wire"
)

// inquiryInterval is the pause after the first inquiry about an attempt or a key.
// Each further pause is twice as long, at most maxInquiryInterval: a node that
// answers late is usually busy.
const (
	inquiryInterval    = 100 * time.Millisecond
	maxInquiryInterval = 800 * time.Millisecond
)

// inquiryTimeout is the timeout of the first inquiry. Each further one that is not
// answered has twice the time, at most maxInquiryTimeout.
const (
	inquiryTimeout    = 500 * time.Millisecond
	maxInquiryTimeout = 2 * time.Second
)

// sendAtMostOnce makes one attempt at an at-most-once call. If the target does not
// acknowledge the call in time, or its answer is lost, the target is asked for the
// outcome of the attempt. The answer counts if it comes before the outcome.
func (p *Proxy) sendAtMostOnce(ctx context.Context, target pick.Candidate, c call.Call, onSilent func(silence)) call.Reply {
	// Inquire also if the caller disconnects, so that the outcome is known when the
	// caller repeats the call.
	inquiryCtx, stopInquiry := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer stopInquiry()
	defer context.AfterFunc(p.stopping.ended, stopInquiry)() // the caller gets its final answer
	sendCtx, stopSend := context.WithCancel(ctx)
	defer stopSend()
	unresolved := call.Reply{Fate: call.Unknown, Cause: call.CauseSilent}
	sentAt := time.Now()
	var silent atomic.Bool
	outcome := make(chan call.Reply, 1)
	r := p.send(sendCtx, target.Addr, c, func(s silence) {
		onSilent(s)
		if silent.Swap(true) {
			return // asked already
		}
		go func() {
			outcome <- p.resolveOutcome(inquiryCtx, target, c, sentAt, unresolved)
			stopSend()
		}()
	})
	switch {
	case r.Fate != call.Unknown:
		return r
	case silent.Load():
		return <-outcome
	}
	return p.resolveOutcome(inquiryCtx, target, c, sentAt, r)
}

// resolveOutcome asks the target for the outcome of an attempt, sent at sentAt, whose answer was
// lost. The inquiry fences an attempt that has not started, so that the call may
// be sent to another upstream. It returns unresolved if the outcome can't be
// learned in time.
func (p *Proxy) resolveOutcome(ctx context.Context, target pick.Candidate, c call.Call, sentAt time.Time, unresolved call.Reply) call.Reply {
	enterStep(ctx, stepInquiry)
	for pace := newInquiryPace(); ; {
		res, err := p.inquire(peer.WithAge(ctx, time.Since(sentAt)+pace.timeout), target.Addr, processID(target), c, pace.timeout)
		switch {
		case err != nil || res.verdict == dedup.Join:
		case res.verdict == dedup.Fenced:
			p.recordEvent(event.RequestFenced, c, "answer from "+target.Addr+" was lost, the attempt had not started")
			return call.Refuse(call.NotRun, call.CauseFenced, 0)
		default:
			return runner.ReplyFor(res.verdict, res.answer)
		}
		if p.processEnded(target, err) || !pace.wait(ctx, err) {
			p.recordEvent(event.RequestUnknown, c, "answer from "+target.Addr+" was lost ("+unresolved.Cause+") and it can't be asked in time")
			return unresolved
		}
	}
}

// inquiryPace determines the pauses between the inquiries about one attempt or key,
// and their timeouts.
type inquiryPace struct {
	interval time.Duration
	timeout  time.Duration
}

func newInquiryPace() inquiryPace { return inquiryPace{inquiryInterval, inquiryTimeout} }

// wait waits until the next inquiry is due. err is the error of the last one. It
// reports false if ctx ended first.
func (p *inquiryPace) wait(ctx context.Context, err error) bool {
	if err != nil {
		p.timeout = min(2*p.timeout, maxInquiryTimeout)
	}
	pause := p.interval
	p.interval = min(2*p.interval, maxInquiryInterval)
	return timer.Sleep(ctx, pause)
}

// processEnded reports whether the process that an attempt was sent to is known to
// have ended, so that it can no longer be asked. err is the error of the last inquiry,
// nil if it was answered. That the members believe the process to be dead is not
// enough: it may be frozen or cut off, and have the answer when it is back. It is
// false for an entry node, whose process is not known.
func (p *Proxy) processEnded(target pick.Candidate, err error) bool {
	if target.Entry {
		return false
	}
	view := p.cfg.Fleet.View()
	m, known := view.Get(target.ID)
	switch {
	case !known || m.Left:
		return true
	case m.IsUp():
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) || view.HasSuccessor(m)
}

// processID returns the id of the process that an attempt was sent to. It is empty
// for an entry node, of which only the address is known.
func processID(c pick.Candidate) string {
	if c.Entry {
		return ""
	}
	return c.ID
}

// inquiryResult is the reply of a node to an inquiry about an attempt or a key.
type inquiryResult struct {
	verdict dedup.Verdict
	answer  dedup.Answer
	former  homes.History // what the node knows of the earlier homes of the key
}

// inquire asks the node at addr for the outcome of an attempt. It uses a new
// connection, since the existing one may be dead. If id is not empty, only the
// process with that id may answer.
func (p *Proxy) inquire(ctx context.Context, addr, id string, c call.Call, timeout time.Duration) (inquiryResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client, closeIdle := p.cfg.Client.DedicatedTo(addr)
	defer closeIdle()
	reply, err := client.Inquire(ctx, &wire.InquireRequest{
		Key: c.ID, Issued: c.Issued.UnixNano(), Attempt: c.Attempt, Mode: wire.Mode(c.Mode), From: p.cfg.Node, To: id,
	})
	if err != nil {
		return inquiryResult{}, err
	}
	return inquiryResult{
		verdict: dedup.Verdict(reply.GetVerdict()),
		answer:  peer.FromAnswer(reply.GetAnswer()),
		former:  homes.History{Removed: reply.GetRemoved(), Anchor: reply.GetAnchor()},
	}, nil
}
