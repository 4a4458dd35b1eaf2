package jsonc

import (
	"strings"

	"github.com/tailscale/hujson"

	"tanagerchute/core/errs"
)

// Checks collects what is wrong with a document: what Decode has found, and what
// those who know its meaning add. It is not safe for concurrent use.
type Checks struct {
	places    places
	findings  errs.List
	undecoded errs.List // findings of Decode
}

// Add notes a finding about the value at a dotted path, unless that could not be
// decoded: what stands in its place is not what the document says.
func (c *Checks) Add(path, format string, args ...any) {
	if c.undecoded.Covers(path) {
		return
	}
	c.findings.Add(c.places.at(path), path, format, args...)
}

// Err returns nil if nothing was found, and otherwise an *errs.Error with all
// findings.
func (c *Checks) Err() error { return c.findings.Err() }

// places finds the positions of a document's values by their dotted paths.
type places struct {
	file  string
	lines lineIndex
	root  hujson.Value
}

// at returns the position of path, or of its nearest parent that exists.
func (p places) at(path string) errs.Pos {
	for {
		if v := p.root.Find(pointer(path)); v != nil {
			return p.pos(v.StartOffset)
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			return p.pos(p.root.StartOffset)
		}
		path = path[:i]
	}
}

func (p places) pos(offset int) errs.Pos {
	line, col := p.lines.find(offset)
	return errs.Pos{File: p.file, Line: line, Col: col}
}

// pointer returns the JSON pointer for a dotted path.
func pointer(path string) string {
	if path == "" {
		return ""
	}
	return "/" + strings.NewReplacer("~", "~0", "/", "~1", ".", "/").Replace(path)
}
