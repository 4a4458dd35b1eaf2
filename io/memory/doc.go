// Package memory keeps the process within the memory of its instance.
//
// A Room hands out the buffers for bodies and answers, as package room decides. A buffer
// counts until the garbage collector has freed it, so that what a slow reader, a resend or
// a record still holds is counted without anybody giving it back. While others wait, the
// Room has garbage collected.
//
// A process that exceeds its memory is killed by the system and leaves no trace of its own,
// so a Watch reports when the use comes close to the limit.
//
// # Usage
//
//	m := memory.NewRoom(memory.Config{Bytes: memory.RoomBytes(284 << 20)})
//	b, err := m.Buffer(ctx, memory.Request{Class: room.Body, Bytes: n, Until: end})
//	w := memory.Watch{LimitBytes: 284 << 20, OnHigh: func(u memory.Use) { … }}
//	go w.Run(ctx)
package memory
