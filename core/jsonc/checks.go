package jsonc

import (
	"strings"

	"github.com/tailscale/hujson"

	"tanagerchute/core/errs"
)

// Checks collects what is wrong with a document: what Decode has found, and what
// those who know its meaning add. It is not safe for concurrent use.
type Findings struct {
	positions positions
	findings  errs.List
	undecoded errs.List // findings of Decode
}

// Add notes a finding about the value at a dotted path, unless that could not be
// decoded: what stands in its place is not what the document says.
func (c *Findings) Add(path, format string, args ...any) {
	if c.undecoded.Covers(path) {
		return
	}
	c.findings.Add(c.positions.forPath(path), path, format, args...)
}

// Err returns nil if nothing was found, and otherwise an *errs.Error with all
// findings.
func (c *Findings) Err() error { return c.findings.Err() }

// places finds the positions of a document's values by their dotted paths.
type positions struct {
	file  string
	lines lineIndex
	root  hujson.Value
}

// at returns the position of path, or of its nearest parent that exists.
func (p positions) forPath(path string) errs.Pos {
	for {
		if v := p.root.Find(jsonPointer(path)); v != nil {
			return p.forOffset(v.StartOffset)
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			return p.forOffset(p.root.StartOffset)
		}
		path = path[:i]
	}
}

func (p positions) forOffset(offset int) errs.Pos {
	line, col := p.lines.lineCol(offset)
	return errs.Pos{File: p.file, Line: line, Col: col}
}

// pointer returns the JSON pointer for a dotted path.
func jsonPointer(path string) string {
	if path == "" {
		return ""
	}
	return "/" + strings.NewReplacer("~", "~0", "/", "~1", ".", "/").Replace(path)
}
