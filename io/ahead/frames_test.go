package ahead

import (
	"testing"

	"pgregory.net/rapid"

	_ "tanagerchute/internal/seed"
)

// TestHeadOfFrames follows frames that arrive in any pieces. At each end of a frame, the size of the
// head that is on its way must be that of its frames so far, and 0 behind its last one.
func TestHeadOfFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFrames()
		feed := func(b []byte) {
			for len(b) > 0 {
				n := rapid.IntRange(1, len(b)).Draw(t, "piece")
				f.take(b[:n])
				b = b[n:]
			}
		}
		feed(make([]byte, prefaceBytes))
		want := 0
		for range rapid.IntRange(1, 12).Draw(t, "frames") {
			const data, settings = 0x0, 0x4
			kind := rapid.SampledFrom([]byte{data, frameHeaders, settings, frameContinues}).Draw(t, "kind")
			flags := rapid.Byte().Draw(t, "flags")
			size := rapid.IntRange(0, 300).Draw(t, "size")
			feed(append([]byte{0, byte(size >> 8), byte(size), kind, flags, 0, 0, 0, 1}, make([]byte, size)...))
			isHead := kind == frameHeaders || kind == frameContinues
			switch {
			case isHead && flags&flagEndHeaders != 0:
				want = 0
			case isHead:
				want += size
			}
			if f.head != want {
				t.Fatalf("head of %d bytes after a frame of type %d, want %d", f.head, kind, want)
			}
		}
	})
}
