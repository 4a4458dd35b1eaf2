// Command soak runs the final build as separate processes on the loopback interface,
// injects faults from outside of them, and checks what must always hold, from what
// callers saw and backend servers recorded.
//
// The faults of a run follow from its seed, size, duration and kinds, see NewPlan.
// They come in series and overlap. Signals go to process ids; a proxy in front of each
// node delays, resets and silences the connections of its peers; the stand-ins of the
// store and of the backend servers inject their own. Callers keep their connections
// open until the process behind them closes them or ends.
//
// Each version of the configuration adds a key of a client account and withdraws one.
// Some calls carry a key, which may have been withdrawn. A caller at each node pipelines
// lookups, and another one sends a second booking before it reads the large answer to the
// first. Others stop in the middle of a body. With the kind heavy, many callers of a node send
// bodies of the largest size allowed.
//
// The exit status is 1 if a check failed or if the run tested nothing. The directory
// with logs, settings and ledgers is kept then.
//
// # Usage
//
//	go run ./internal/soak -seed 7 -duration 20s -nodes 9
//	go run ./internal/soak -seed 7 -kinds stall,kill,leave
//	go run ./internal/soak -seed 7 -kinds foreign,kill_again,roll,heavy
package main
