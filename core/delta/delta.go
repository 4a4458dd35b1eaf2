// Package delta encodes a document as the difference to an earlier one.
//
// The encoding is a zstd frame that uses the earlier document as its raw
// dictionary, so that a change of one service costs some tens of bytes however
// large the document is. An empty base gives a plain compressed document.
//
// # Usage
//
//	d, err := delta.Encode(base, content)
//	content, err := delta.Decode(base, d, config.MaxDocumentBytes)
package delta

import (
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

// dictID names the base inside of a frame. It is the same for all bases: that
// the right base was used is proved by the digest of the result.
const dictID = 1

// Bounds of the window, in bytes. It has to cover base and content, and costs
// memory and time to set up.
const (
	minWindowBytes = 32 << 10
	maxWindowBytes = 2 << 20
)

// window returns the power of two that covers n bytes.
func windowBytes(n int) int {
	w := minWindowBytes
	for w < n && w < maxWindowBytes {
		w *= 2
	}
	return w
}

// Encode returns content as a difference to base.
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
		return nil, errors.Wrap(err, "create encoder")
	}
	defer w.Close()
	return w.EncodeAll(content, nil), nil
}

// Decode returns the content whose difference to base is d. It fails if the
// content would have more than limit bytes.
func Decode(base, d []byte, limit int) ([]byte, error) {
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
		return nil, errors.Wrap(err, "create decoder")
	}
	defer r.Close()
	out, err := r.DecodeAll(d, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	if len(out) > limit {
		return nil, errors.Errorf("content has %d bytes, more than the limit of %d", len(out), limit)
	}
	return out, nil
}
