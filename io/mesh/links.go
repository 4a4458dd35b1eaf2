package mesh

import (
	"time"

	"tanagerchute/io/link"
	"tanagerchute/io/setup"
)

// instanceLink is the network link of an instance. Its directions are nil if it has no
// bound.
type instanceLink struct{ in, out *link.Bottleneck }

// linkMbit returns the rate of the link of an instance in each direction, 0 for no bound.
func (m *Mesh) linkMbit(s InstanceSpec) float64 {
	if m.cfg.LinkMbit == nil {
		return 0
	}
	return m.cfg.LinkMbit(s)
}

// newInstanceLink returns a link that carries the given rate in each direction, in Mbit/s,
// 0 for no bound.
func newInstanceLink(mbit float64) *instanceLink {
	rate := setup.Link{MbitPerSecond: mbit}.BytesPerSecond()
	if rate <= 0 {
		return &instanceLink{}
	}
	return &instanceLink{in: link.NewBottleneck(rate), out: link.NewBottleneck(rate)}
}

// narrowPath returns the path of a connection over the links of two instances.
func narrowPath(from, to *instanceLink) link.Path {
	return link.Path{Out: throughBoth(from.out, to.in), In: throughBoth(to.out, from.in)}
}

// throughBoth returns the delay of a segment over two bottlenecks, which may be nil. It
// is nil if both are.
func throughBoth(a, b *link.Bottleneck) func(n int) time.Duration {
	switch {
	case a == nil && b == nil:
		return nil
	case a == nil:
		return b.Send
	case b == nil:
		return a.Send
	}
	return func(n int) time.Duration { return max(a.Send(n), b.Send(n)) }
}
