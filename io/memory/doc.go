// Package memory watches how much memory the process uses.
//
// A process that exceeds the memory of its instance is killed by the system and leaves no
// trace of its own, so a Watch reports when the use comes close to the limit, with what is
// known of its causes.
//
// # Usage
//
//	w := memory.Watch{LimitBytes: 284 << 20, OnHigh: func(u memory.Use) { … }}
//	go w.Run(ctx)
package memory
