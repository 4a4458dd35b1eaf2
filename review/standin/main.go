// Command standin plays the cases of the review: it starts nodes as separate processes, and
// plays the platform's store, the upstreams and the clients around them.
//
// # Usage
//
//	standin CASE FOLDER
//
// It writes record.txt into FOLDER and exits with 1 if the rule of the case was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the
// disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the cases by name.
var cases = map[string]func(rec *recorder, trouble bool) (int, error){
	"leave-again": func(rec *recorder, trouble bool) (int, error) { return playLeave(rec, trouble, killAgain) },
	"leave-all":   func(rec *recorder, trouble bool) (int, error) { return playLeave(rec, trouble, killAll) },
	"memory":      playMemory,
	"spoil-200":   func(rec *recorder, trouble bool) (int, error) { return playSpoil(rec, trouble, foreignSuccess) },
	"spoil-503":   func(rec *recorder, trouble bool) (int, error) { return playSpoil(rec, trouble, foreignRefusal) },
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	go endOnSignal()
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitCannotRun
	}
	rec.close()
	os.Exit(code)
}

// endOnSignal ends all nodes and this process when it is told to end.
func endOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	<-c
	killNodes()
	os.Exit(exitCannotRun)
}
