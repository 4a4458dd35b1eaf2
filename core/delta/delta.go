// Package delta encodes a document as the difference to an earlier one, the base.
//
// The encoding is a zstd frame with the base as its raw dictionary. A change of
// one service takes some tens of bytes, however large the document is. With an
// empty base the result is the compressed document.
//
// # Usage
//
//	d, err := delta.Encode(base, content)
//	content, err = delta.Decode(base, d, config.MaxDocumentBytes)
package delta

import (
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

// dictID is the dictionary id in a frame. It is the same for all bases, since the
// caller verifies by the digest of the result that the base was the right one.
const dictID = 1

// Bounds of the zstd window. A window has to cover base and content. A larger
// one takes more memory and time to set up.
const (
	minWindowBytes = 32 << 10
	maxWindowBytes = 2 << 20
)

// windowBytes returns the smallest power of two that covers n bytes, within the
// bounds of the window.
func windowBytes(n int) int {
	w := minWindowBytes
	for w < n && w < maxWindowBytes {
		w *= 2
	}
	return w
}

// Encode returns the difference of content to base.
func Encode(base, content []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowBytes(len(base) + len(content))),
		zstd.WithEncoderCRC(false),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictID, base))
	}
	w, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "create delta encoder")
	}
	defer w.Close()
	return w.EncodeAll(content, nil), nil
}

// Decode returns the content that Encode has encoded as delta to base. It fails
// if the content has more than limit bytes.
func Decode(base, delta []byte, limit int) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(limit) + maxWindowBytes),
		zstd.WithDecoderMaxWindow(maxWindowBytes),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictID, base))
	}
	r, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "create delta decoder")
	}
	defer r.Close()
	out, err := r.DecodeAll(delta, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decode delta")
	}
	if len(out) > limit {
		return nil, errors.Errorf("content has %d bytes, more than the limit of %d", len(out), limit)
	}
	return out, nil
}
