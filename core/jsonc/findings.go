package jsonc

import (
	"strings"

	"github.com/tailscale/hujson"

	"tanagerchute/core/errs"
)

// Findings collects the findings about a document. Decode adds those about syntax
// and types; its caller adds those about the meaning of the values. It is not
// safe for concurrent use.
type Findings struct {
	positions positions
	findings  errs.List
	undecoded errs.List // findings of Decode
}

// Add adds a finding about the value at a dotted path. It ignores findings about
// a value that Decode left out, since the destination then holds a zero value
// instead of the one in the document.
func (f *Findings) Add(path, format string, args ...any) {
	if f.undecoded.Covers(path) {
		return
	}
	f.findings.Add(f.positions.forPath(path), path, format, args...)
}

// Err returns an *errs.Error with all findings, or nil if there are none.
func (f *Findings) Err() error { return f.findings.Err() }

// positions maps the dotted paths of a document's values to their positions.
type positions struct {
	file  string
	lines lineIndex
	root  hujson.Value
}

// forPath returns the position of the value at path, or of its nearest parent
// that exists.
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

// forOffset returns the position of a byte offset in the document.
func (p positions) forOffset(offset int) errs.Pos {
	line, col := p.lines.lineCol(offset)
	return errs.Pos{File: p.file, Line: line, Col: col}
}

// jsonPointer returns the JSON pointer for a dotted path.
func jsonPointer(dotted string) string {
	if dotted == "" {
		return ""
	}
	return "/" + strings.NewReplacer("~", "~0", "/", "~1", ".", "/").Replace(dotted)
}
