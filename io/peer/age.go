package peer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
)

// headerAge is the header of an inquiry that carries the age of the attempt that it is about, in
// nanoseconds. An age is the same by every clock, a time is not.
const headerAge = "Tanager-Attempt-Age"

// WithAge returns a context for an inquiry about an attempt that is at most that old when the
// answer is used.
func WithAge(ctx context.Context, age time.Duration) context.Context {
	h := http.Header{}
	h.Set(headerAge, strconv.FormatInt(int64(age), 10))
	withAge, err := twirp.WithHTTPRequestHeaders(ctx, h)
	if err != nil { // only for names that twirp sets itself
		return ctx
	}
	return withAge
}

// ageKey is the key of an age in the context of a request.
type ageKey struct{}

// withReceivedAge returns r with the age that its sender has given, if it is valid.
func withReceivedAge(r *http.Request) *http.Request {
	age, err := strconv.ParseInt(r.Header.Get(headerAge), 10, 64)
	if err != nil || age < 0 {
		return r
	}
	return r.WithContext(context.WithValue(r.Context(), ageKey{}, time.Duration(age)))
}

// AgeOf returns the age that the sender of a request has given. ok is false if there is none.
func AgeOf(ctx context.Context) (age time.Duration, ok bool) {
	age, ok = ctx.Value(ageKey{}).(time.Duration)
	return age, ok
}
