package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"tanagerchute/core/errs"
)

// Duration is a time span that is written as a string with a unit.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\"", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Places maps dotted paths of a document to their positions.
type Places struct {
	file string
	at   map[string]errs.Pos
}

// At returns the position of path, or of its nearest known parent.
func (p Places) At(path string) errs.Pos {
	for {
		if pos, ok := p.at[path]; ok {
			return pos
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			return errs.Pos{File: p.file}
		}
		path = path[:i]
	}
}

// Decode parses data, which came from file, into dst, a pointer to a struct.
// The findings are complete for syntax and types; dst is only to be used if
// there are none.
func Decode(file string, data []byte, dst any) (Places, *errs.List) {
	c := &checker{
		places: Places{file: file, at: map[string]errs.Pos{}},
		lines:  newLineIndex(data),
	}
	// The syntax tree shares the bytes that it was parsed from, and is changed
	// below.
	v, err := hujson.Parse(bytes.Clone(data))
	if err != nil {
		c.syntax(err)
		return c.places, &c.findings
	}
	c.value(v, reflect.TypeOf(dst).Elem(), "")
	if c.findings.Len() > 0 {
		return c.places, &c.findings
	}
	v.Standardize()
	if err := json.Unmarshal(v.Pack(), dst); err != nil {
		c.findings.Add(errs.Pos{File: file}, "", "%v", err)
	}
	return c.places, &c.findings
}

type checker struct {
	places   Places
	lines    lineIndex
	findings errs.List
}

func (c *checker) pos(offset int) errs.Pos {
	line, col := c.lines.find(offset)
	return errs.Pos{File: c.places.file, Line: line, Col: col}
}

// syntax reports a syntax error. The library words its place as
// "line L, column C" inside of the message.
func (c *checker) syntax(err error) {
	pos := errs.Pos{File: c.places.file}
	msg := strings.TrimPrefix(err.Error(), "hujson: ")
	var line, col int
	if n, _ := fmt.Sscanf(msg, "line %d, column %d:", &line, &col); n == 2 {
		pos.Line, pos.Col = line, col
		_, rest, _ := strings.Cut(msg, ":")
		msg = strings.TrimSpace(rest)
	}
	c.findings.Add(pos, "", "%s", msg)
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

func (c *checker) value(v hujson.Value, t reflect.Type, path string) {
	c.places.at[path] = c.pos(v.StartOffset)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		c.object(x, t, path, v.StartOffset)
	case *hujson.Array:
		c.array(x, t, path, v.StartOffset)
	case hujson.Literal:
		c.literal(x, t, path, v.StartOffset)
	}
}

func (c *checker) object(o *hujson.Object, t reflect.Type, path string, off int) {
	if t.Kind() != reflect.Struct && t.Kind() != reflect.Map {
		c.findings.Add(c.pos(off), path, "is an object, but %s is wanted", kindName(t))
		return
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		lit, _ := m.Name.Value.(hujson.Literal)
		name := lit.String()
		sub := join(path, name)
		if seen[name] {
			c.findings.Add(c.pos(m.Name.StartOffset), sub, "appears twice")
			continue
		}
		seen[name] = true
		if t.Kind() == reflect.Map {
			c.value(m.Value, t.Elem(), sub)
			continue
		}
		ft, ok := fieldType(t, name)
		if !ok {
			c.findings.Add(c.pos(m.Name.StartOffset), sub, "is not a known field%s", hint(name))
			continue
		}
		c.value(m.Value, ft, sub)
	}
}

// hint explains why the fields that operators of other systems look for do
// not exist here.
func hint(name string) string {
	switch strings.ToLower(name) {
	case "weight", "weights", "priority":
		return " (state targets; the system chooses weights and priorities)"
	case "address", "addresses", "endpoints", "upstreams", "hosts":
		return " (upstreams announce themselves; addresses are never configured)"
	}
	return ""
}

func (c *checker) array(a *hujson.Array, t reflect.Type, path string, off int) {
	if t.Kind() != reflect.Slice {
		c.findings.Add(c.pos(off), path, "is a list, but %s is wanted", kindName(t))
		return
	}
	for i := range a.Elements {
		c.value(a.Elements[i], t.Elem(), join(path, strconv.Itoa(i)))
	}
}

func (c *checker) literal(l hujson.Literal, t reflect.Type, path string, off int) {
	bad := func() { c.findings.Add(c.pos(off), path, "is %s, but %s is wanted", string(l), kindName(t)) }
	if reflect.PointerTo(t).Implements(textType) {
		c.text(l, t, path, off)
		return
	}
	switch l.Kind() {
	case '"':
		if t.Kind() != reflect.String {
			bad()
		}
	case 't', 'f':
		if t.Kind() != reflect.Bool {
			bad()
		}
	case '0':
		c.number(l, t, path, off)
	default:
		bad()
	}
}

func (c *checker) text(l hujson.Literal, t reflect.Type, path string, off int) {
	if l.Kind() != '"' {
		c.findings.Add(c.pos(off), path, "is %s, but a string is wanted", string(l))
		return
	}
	dst := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := dst.UnmarshalText([]byte(l.String())); err != nil {
		c.findings.Add(c.pos(off), path, "%v", err)
	}
}

func (c *checker) number(l hujson.Literal, t reflect.Type, path string, off int) {
	if err := json.Unmarshal(l, reflect.New(t).Interface()); err != nil {
		c.findings.Add(c.pos(off), path, "is %s, but %s is wanted", string(l), kindName(t))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == name && tag != "-" {
			return f.Type, true
		}
	}
	return nil, false
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint64:
		return "a whole number that is not negative"
	}
	return "a " + t.Kind().String()
}

// lineIndex holds the offset at which each line starts.
type lineIndex []int

func newLineIndex(data []byte) lineIndex {
	idx := lineIndex{0}
	for i, b := range data {
		if b == '\n' {
			idx = append(idx, i+1)
		}
	}
	return idx
}

func (x lineIndex) find(offset int) (line, col int) {
	for line < len(x) && x[line] <= offset {
		line++
	}
	return line, offset - x[line-1] + 1
}
