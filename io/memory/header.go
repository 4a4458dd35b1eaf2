package memory

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"unsafe"
)

const (
	// HeadCopies is how many times the head of a message takes its size while the message
	// is read and passed on.
	HeadCopies = 5
	// fieldBytes is what a field takes beside its text: an entry in a map and a list of values.
	fieldBytes = 200
	// uncountedHeadBytes is the largest cost of a head that is not counted. It is part of
	// what its connection takes.
	uncountedHeadBytes = 16 << 10
)

// headCost returns what a head takes.
func headCost(textBytes, fields int) int64 {
	return HeadCopies*int64(textBytes) + fieldBytes*int64(fields)
}

// Text returns the text of a head with the given number of fields, for a header that is cut
// out of it. Text waits until there is room for all that is made of the head, and returns a
// *FullError if there is none in time. The room is given back when no part of the text is
// used any more. r.Bytes and r.Beside are not used.
func (m *Room) Text(ctx context.Context, text []byte, fields int, r Request) (string, error) {
	b, err := m.headBuffer(ctx, len(text), fields, r)
	if err != nil {
		return "", err
	}
	copy(b, text)
	return textOf(b), nil
}

// headBuffer returns a buffer for the text of a head.
func (m *Room) headBuffer(ctx context.Context, textBytes, fields int, r Request) ([]byte, error) {
	cost := headCost(textBytes, fields)
	if cost <= uncountedHeadBytes {
		return make([]byte, textBytes), nil
	}
	r.Bytes = int64(textBytes)
	r.Beside = cost - r.Bytes
	return m.Buffer(ctx, r)
}

// textOf returns the content of b, to which nothing is written any more. The text keeps b, and
// so its room.
func textOf(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// IsLarge reports whether a header takes room that counts.
func IsLarge(h http.Header) bool { return headCost(sizeOf(h)) > uncountedHeadBytes }

// sizeOf returns the size of the names and values in h, each name once, and the number of
// fields.
func sizeOf(h http.Header) (textBytes, fields int) {
	for name, values := range h {
		textBytes += len(name)
		fields += len(values)
		for _, v := range values {
			textBytes += len(v)
		}
	}
	return textBytes, fields
}

// Header returns a header equal to h, which another package has read, whose names and values
// are cut out of a Text. It returns h itself if it is not large.
func (m *Room) Header(ctx context.Context, h http.Header, r Request) (http.Header, error) {
	if !IsLarge(h) {
		return h, nil
	}
	textBytes, fields := sizeOf(h)
	b, err := m.headBuffer(ctx, textBytes, fields, r)
	if err != nil {
		return nil, err
	}
	names := slices.Collect(maps.Keys(h))
	rest := b
	for _, name := range names {
		rest = rest[copy(rest, name):]
		for _, v := range h[name] {
			rest = rest[copy(rest, v):]
		}
	}
	return cutHeader(textOf(b), names, h), nil
}

// cutHeader returns a header equal to h, cut out of the text of its names and values, which
// stand there in the order of names.
func cutHeader(text string, names []string, h http.Header) http.Header {
	cut := func(n int) string {
		s := text[:n]
		text = text[n:]
		return s
	}
	out := make(http.Header, len(h))
	for _, name := range names {
		key := cut(len(name))
		values := make([]string, len(h[name]))
		for i, v := range h[name] {
			values[i] = cut(len(v))
		}
		out[key] = values
	}
	return out
}
