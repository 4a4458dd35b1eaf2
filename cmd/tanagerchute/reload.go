package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"tanagerchute/io/node"
	"tanagerchute/io/setup"
)

// reloadCheckInterval is the interval at which a process checks whether its
// settings file has changed, so that a change also takes effect without SIGHUP.
const reloadCheckInterval = 2 * time.Second

// reloader reloads the settings of a node when their file changes or the process
// receives SIGHUP.
type reloader struct {
	file     string
	read     func(file string) (setup.Node, error)
	sighup   chan os.Signal
	lastText string // content of the file at the last reload, successful or not
}

// newReloader returns a reloader for a file. From then on, SIGHUP no longer ends
// the process.
func newReloader(file string, read func(file string) (setup.Node, error)) *reloader {
	r := &reloader{file: file, read: read, sighup: make(chan os.Signal, 1)}
	signal.Notify(r.sighup, syscall.SIGHUP)
	if text, err := os.ReadFile(file); err == nil { // the node reports an unreadable file when it starts
		r.lastText = string(text)
	}
	return r
}

// run reloads the settings on SIGHUP, and when the file has changed, until ctx
// ends.
func (r *reloader) run(ctx context.Context, n *node.Node) {
	t := time.NewTicker(reloadCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.sighup:
			r.reload(n, true)
		case <-t.C:
			r.reload(n, false)
		}
	}
}

// reload applies the settings in the file if the file has changed, or in any case
// if forced is set. Settings that are not valid are refused as a whole.
func (r *reloader) reload(n *node.Node, forced bool) {
	text, err := os.ReadFile(r.file)
	if err != nil {
		if forced {
			n.RecordRefusedReload(err)
		}
		return // the next check tries again
	}
	if !forced && string(text) == r.lastText {
		return
	}
	r.lastText = string(text)
	s, err := r.read(r.file)
	if err != nil {
		n.RecordRefusedReload(err)
		return
	}
	n.Reload(s)
}
