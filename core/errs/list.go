package errs

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Pos is a position in a source file. Line and Col count from 1. A Line of 0
// means that the position in the file is not known.
type Pos struct {
	File string
	Line int
	Col  int
}

// String returns file:line:col, leaving out the parts that are not known.
func (p Pos) String() string {
	switch {
	case p.Line == 0:
		return p.File
	case p.File == "":
		return fmt.Sprintf("%d:%d", p.Line, p.Col)
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col)
}

// Finding is one error in a document.
type Finding struct {
	Pos  Pos
	Path string // dotted path of the value, such as services.0.name
	Msg  string
}

// String returns the finding as one line.
func (f Finding) String() string {
	var b strings.Builder
	if p := f.Pos.String(); p != "" {
		b.WriteString(p + ": ")
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Msg)
	return b.String()
}

// List is a collection of findings. Its zero value is empty and ready to use.
type List struct {
	findings []Finding
}

// Add appends a finding.
func (l *List) Add(pos Pos, path, format string, args ...any) {
	l.findings = append(l.findings, Finding{Pos: pos, Path: path, Msg: fmt.Sprintf(format, args...)})
}

// Clone returns a copy of l. Findings that are added to l later are not in it.
func (l *List) Clone() List { return List{findings: slices.Clone(l.findings)} }

// Covers reports whether there is a finding about the value at path or about one
// of its parents.
func (l *List) Covers(path string) bool {
	for _, f := range l.findings {
		if f.Path != "" && (path == f.Path || strings.HasPrefix(path, f.Path+".")) {
			return true
		}
	}
	return false
}

// Findings returns a sorted copy of the findings.
func (l *List) Findings() []Finding {
	out := slices.Clone(l.findings)
	slices.SortStableFunc(out, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Pos.File, b.Pos.File),
			cmp.Compare(a.Pos.Line, b.Pos.Line),
			cmp.Compare(a.Pos.Col, b.Pos.Col),
			cmp.Compare(a.Path, b.Path),
			cmp.Compare(a.Msg, b.Msg),
		)
	})
	return out
}

// Err returns an *Error with all findings, or nil if the list is empty.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.Findings()}
}

// Error is an error that consists of findings.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
