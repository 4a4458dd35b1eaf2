// Package quota keeps a backend server within the rate limit that it names.
//
// A server in need names in its answers the number of requests a second that it
// takes from all nodes together. All requests to a server pass through its
// gatekeeper, so one Limiter there bounds their sum. A Limiter is a token bucket
// that is empty when the limit is first named.
//
// Answers to concurrent requests arrive in any order. A lower limit applies at once.
// A higher limit, or an answer without one, applies only if its request was sent
// after the limit in force was last named.
//
// A gatekeeper that has restarted has heard no answer yet. Until then it adopts the
// limit that other nodes remember.
//
// # Usage
//
//	var l quota.Limiter
//	changed := l.Observe(quota.Answer{SentAt: sent, ReceivedAt: now, Limited: true, Rate: 9.7})
//	if l.Take(now) { … send a request … }
//	wait := l.Wait(now, queued)
package quota
