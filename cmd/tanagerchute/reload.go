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

// reloadCheck is how often a process looks whether its settings file has
// changed without a signal.
const reloadCheck = 2 * time.Second

// reloader follows the settings file of a node.
type reloader struct {
	file string
	read func(file string) (setup.Node, error)
	hups chan os.Signal
	text string // of the file as it was last taken or refused
}

// newReloader returns what follows a file. From then on SIGHUP does not end the
// process.
func newReloader(file string, read func(file string) (setup.Node, error)) *reloader {
	r := &reloader{file: file, read: read, hups: make(chan os.Signal, 1)}
	signal.Notify(r.hups, syscall.SIGHUP)
	if text, err := os.ReadFile(file); err == nil { // otherwise the start fails
		r.text = string(text)
	}
	return r
}

// run re-reads the settings at SIGHUP, and when the file has changed, until ctx
// ends.
func (r *reloader) run(ctx context.Context, n *node.Node) {
	t := time.NewTicker(reloadCheck)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hups:
			r.reload(n, true)
		case <-t.C:
			r.reload(n, false)
		}
	}
}

// reload takes the settings if they have changed, or if that is asked for.
func (r *reloader) reload(n *node.Node, asked bool) {
	text, err := os.ReadFile(r.file)
	if err != nil {
		if asked {
			n.RecordRefusedReload(err)
		}
		return // the next check looks again
	}
	if !asked && string(text) == r.text {
		return
	}
	r.text = string(text)
	s, err := r.read(r.file)
	if err != nil {
		n.RecordRefusedReload(err)
		return
	}
	n.Reload(s)
}
