// Package room decides which bodies and answers may take memory.
//
// A node holds the bodies of requests and the answers to them in whole. What it holds at
// once must not exceed the memory of its instance, whatever callers send and however
// slowly they read. So each is given room before it is read, out of one budget:
//
//   - A message that has no room waits, in the order of arrival inside its class, until
//     others have given theirs back, for as long as its caller allows.
//   - A message that would wait for longer, by the pace at which room was given back
//     lately, is refused at once, with the time after which it would fit.
//   - Each class has a share that the others can't take: small messages, so that small
//     calls go on beside large bodies, and answers, since their requests have run.
//
// # Usage
//
//	t := room.New(room.Config{Bytes: 128 << 20})
//	switch v, retryAfter := t.Offer(now, room.Message{ID: 1, Class: room.Body, Bytes: n, Until: end}); v {
//	case room.Given:
//	case room.Waits: // until Release or Cancel names it
//	case room.Refused:
//	}
//	for _, id := range t.Release(now, room.Body, n) { … }
package room
