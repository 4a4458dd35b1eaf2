package errs

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Pos is a place in a source file. Line and Col count from 1; a zero Line
// means that the place is not known.
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

// Finding is one thing that is wrong with a document.
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

// Clone returns a copy that does not grow with l.
func (l *List) Clone() List { return List{findings: slices.Clone(l.findings)} }

// Covers reports whether there is a finding about the value at path, or about
// one that it is part of.
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

// Err returns nil if the list is empty, and otherwise an error that prints
// one finding a line.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.Findings()}
}

// Error is the error form of a List.
type Error struct {
	Findings []Finding
}

// Error returns all findings, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
