package xfer

import (
	"context"
	"io"
	"time"

	"tanagerchute/core/band"
	"tanagerchute/io/timer"
)

// maxCatchUpPieces is the number of pieces that a transfer which fell behind may write at
// once. More would make small messages wait.
const maxCatchUpPieces = 2

// Pace spreads the pieces of one transfer over time. It is not safe for concurrent use.
type Pace struct {
	rate   float64 // bytes a second, 0 for no bound
	piece  int64
	nextAt time.Time
	end    time.Time // from which on nothing waits, zero for never
}

// NewPace returns a pace at the lowest of the given rates in bytes a second, of which 0 means
// no bound.
func NewPace(rates ...float64) *Pace {
	lowest := 0.0
	for _, r := range rates {
		if r > 0 && (lowest == 0 || r < lowest) {
			lowest = r
		}
	}
	return &Pace{rate: lowest, piece: band.PieceBytes(lowest), nextAt: time.Now()}
}

// WithEnd returns the pace for a transfer that is not held back from end on.
func (p *Pace) WithEnd(end time.Time) *Pace {
	q := *p
	q.end = end
	return &q
}

// ended reports whether nothing waits any more.
func (p *Pace) ended(now time.Time) bool { return !p.end.IsZero() && !now.Before(p.end) }

// Next waits until the next piece of n remaining bytes may pass, and returns its size. It
// returns the error of ctx if that ends before.
func (p *Pace) Next(ctx context.Context, n int64) (int64, error) {
	if p.rate == 0 {
		return n, ctx.Err()
	}
	now := time.Now()
	if p.ended(now) {
		return n, ctx.Err()
	}
	if earliest := now.Add(-band.Time(maxCatchUpPieces*p.piece, p.rate)); p.nextAt.Before(earliest) {
		p.nextAt = earliest
	}
	at := p.nextAt
	if p.ended(at) {
		at = p.end
	}
	if wait := at.Sub(now); wait > 0 && !timer.Sleep(ctx, wait) {
		return 0, ctx.Err()
	}
	n = min(n, p.piece)
	p.nextAt = p.nextAt.Add(band.Time(n, p.rate))
	return n, nil
}

// Read fills b from r at a pace. It returns io.ErrUnexpectedEOF if there are fewer bytes.
func Read(ctx context.Context, r io.Reader, b []byte, p *Pace) error {
	for len(b) > 0 {
		piece, err := p.Next(ctx, int64(len(b)))
		if err != nil {
			return err
		}
		if _, err := io.ReadFull(r, b[:piece]); err != nil {
			return err
		}
		b = b[piece:]
	}
	return nil
}

// Write writes b to w at a pace, and calls flush after each piece.
func Write(ctx context.Context, w io.Writer, b []byte, p *Pace, flush func() error) error {
	for len(b) > 0 {
		n, err := p.Next(ctx, int64(len(b)))
		if err != nil {
			return err
		}
		if _, err := w.Write(b[:n]); err != nil {
			return err
		}
		if err := flush(); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
