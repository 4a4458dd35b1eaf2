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

// Duration is a duration that is encoded as a string with a unit, such as "250ms".
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

// Decode decodes data, the content of file, into dst, a pointer to a struct. On a
// syntax error it returns an *errs.Error with the position of the error. Otherwise
// it returns all findings about types. Values with a finding are left out of dst;
// all others are decoded, so that the caller can validate them. Findings do not repeat
// the values of fields with the tag secret:"true".
func Decode(file string, data []byte, dst any) (*Findings, error) {
	c := &typeChecker{positions: positions{file: file, lines: newLineIndex(data)}}
	// The syntax tree shares the bytes that it was parsed from, and Standardize
	// changes them.
	v, err := Parse(bytes.Clone(data))
	if err != nil {
		c.addSyntaxError(err)
		return nil, c.findings.Err()
	}
	c.positions.root = v
	c.checkValue(v, reflect.TypeOf(dst).Elem(), nil)
	v.Standardize()
	text, err := removeInvalid(v.Pack(), c.findings.Findings())
	if err == nil {
		err = json.Unmarshal(text, dst)
	}
	if err != nil {
		c.findings.Add(errs.Pos{File: file}, "", "%v", err)
	}
	return &Findings{positions: c.positions, findings: c.findings, undecoded: c.findings.Clone()}, nil
}

// removeInvalid removes the values with findings from a JSON text. In a list it
// replaces them by null, so that the other elements keep their indexes.
func removeInvalid(text []byte, findings []errs.Finding) ([]byte, error) {
	if len(findings) == 0 {
		return text, nil
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var root any
	if err := d.Decode(&root); err != nil {
		return nil, err
	}
	for _, f := range findings {
		if f.Path == "" {
			return []byte("{}"), nil // the document itself is of the wrong type
		}
		removePath(root, strings.Split(f.Path, "."))
	}
	return json.Marshal(root)
}

// removePath removes the value at path from v, a decoded JSON value.
func removePath(v any, path []string) {
	switch v := v.(type) {
	case map[string]any:
		if len(path) == 1 {
			delete(v, path[0])
			return
		}
		removePath(v[path[0]], path[1:])
	case []any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(v) {
			return // already removed together with its parent
		}
		if len(path) == 1 {
			v[i] = nil
			return
		}
		removePath(v[i], path[1:])
	}
}

// typeChecker compares the syntax tree of a document with a Go type.
type typeChecker struct {
	positions positions
	findings  errs.List
}

func (c *typeChecker) pos(offset int) errs.Pos { return c.positions.forOffset(offset) }

// add adds a finding about the value at path.
func (c *typeChecker) add(offset int, path *pathStep, format string, args ...any) {
	c.findings.Add(c.pos(offset), path.String(), format, args...)
}

// pathStep is the last element of the path to a value, linked to the elements
// before it. The dotted path is built only for a finding, since most documents
// have none.
type pathStep struct {
	parent *pathStep // nil for the first element of a path
	name   string
	index  int  // of a list element, if name is empty
	secret bool // findings must not repeat the value
}

// child returns the path of a part of the value at s.
func (s *pathStep) child(c pathStep) *pathStep {
	c.parent = s
	c.secret = c.secret || s != nil && s.secret
	return &c
}

// String returns the dotted path of s.
func (s *pathStep) String() string {
	if s == nil {
		return ""
	}
	last := s.name
	if last == "" {
		last = strconv.Itoa(s.index)
	}
	if s.parent == nil {
		return last
	}
	return s.parent.String() + "." + last
}

// addSyntaxError adds a finding about a syntax error. The hujson library reports
// the position as "line L, column C" in the message.
func (c *typeChecker) addSyntaxError(err error) {
	pos := errs.Pos{File: c.positions.file}
	msg := strings.TrimPrefix(err.Error(), "hujson: ")
	var line, col int
	if n, _ := fmt.Sscanf(msg, "line %d, column %d:", &line, &col); n == 2 {
		pos.Line, pos.Col = line, col
		_, rest, _ := strings.Cut(msg, ":")
		msg = strings.TrimSpace(rest)
	}
	// The literal may be a secret whose quotation marks were forgotten.
	msg, _, _ = strings.Cut(msg, ": ")
	c.findings.Add(pos, "", "%s", msg)
}

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

// checkValue adds a finding for each part of v that does not fit the type t.
func (c *typeChecker) checkValue(v hujson.Value, t reflect.Type, path *pathStep) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		c.checkObject(x, t, path, v.StartOffset)
	case *hujson.Array:
		c.checkArray(x, t, path, v.StartOffset)
	case hujson.Literal:
		c.checkLiteral(x, t, path, v.StartOffset)
	}
}

func (c *typeChecker) checkObject(o *hujson.Object, t reflect.Type, path *pathStep, offset int) {
	if t.Kind() != reflect.Struct && t.Kind() != reflect.Map {
		c.add(offset, path, "is an object, but %s is wanted", typeDescription(t))
		return
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		lit, _ := m.Name.Value.(hujson.Literal)
		name := lit.String()
		memberPath := path.child(pathStep{name: name})
		if seen[name] {
			c.add(m.Name.StartOffset, memberPath, "appears twice")
			continue
		}
		seen[name] = true
		if t.Kind() == reflect.Map {
			c.checkValue(m.Value, t.Elem(), memberPath)
			continue
		}
		f, ok := findField(t, name)
		if !ok {
			c.add(m.Name.StartOffset, memberPath, "is not a known field%s", unknownFieldHint(name))
			continue
		}
		memberPath.secret = memberPath.secret || f.Tag.Get("secret") == "true"
		c.checkValue(m.Value, f.Type, memberPath)
	}
}

// unknownFieldHint explains why a field that operators of other systems expect
// does not exist.
func unknownFieldHint(name string) string {
	switch strings.ToLower(name) {
	case "weight", "weights", "priority":
		return " (state targets; the system chooses weights and priorities)"
	case "address", "addresses", "endpoints", "upstreams", "hosts":
		return " (upstreams announce themselves; addresses are never configured)"
	}
	return ""
}

func (c *typeChecker) checkArray(a *hujson.Array, t reflect.Type, path *pathStep, offset int) {
	if t.Kind() != reflect.Slice {
		c.add(offset, path, "is a list, but %s is wanted", typeDescription(t))
		return
	}
	for i := range a.Elements {
		c.checkValue(a.Elements[i], t.Elem(), path.child(pathStep{index: i}))
	}
}

func (c *typeChecker) checkLiteral(l hujson.Literal, t reflect.Type, path *pathStep, offset int) {
	addMismatch := func() { c.addMismatch(l, t, path, offset) }
	if reflect.PointerTo(t).Implements(textUnmarshalerType) {
		c.checkText(l, t, path, offset)
		return
	}
	switch l.Kind() {
	case '"':
		if t.Kind() != reflect.String {
			addMismatch()
		}
	case 't', 'f':
		if t.Kind() != reflect.Bool {
			addMismatch()
		}
	case '0':
		c.checkNumber(l, t, path, offset)
	default:
		addMismatch()
	}
}

func (c *typeChecker) checkText(l hujson.Literal, t reflect.Type, path *pathStep, offset int) {
	if l.Kind() != '"' {
		c.addMismatch(l, reflect.TypeFor[string](), path, offset)
		return
	}
	dst := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := dst.UnmarshalText([]byte(l.String())); err != nil {
		c.add(offset, path, "%v", err)
	}
}

func (c *typeChecker) checkNumber(l hujson.Literal, t reflect.Type, path *pathStep, offset int) {
	if err := json.Unmarshal(l, reflect.New(t).Interface()); err != nil {
		c.addMismatch(l, t, path, offset)
	}
}

// addMismatch adds a finding about a value of another type than t.
func (c *typeChecker) addMismatch(l hujson.Literal, t reflect.Type, path *pathStep, offset int) {
	value := string(l)
	if path != nil && path.secret {
		value = "another value"
	}
	c.add(offset, path, "is %s, but %s is wanted", value, typeDescription(t))
}

// findField returns the field of struct t with the JSON name.
func findField(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == name && tag != "-" && f.IsExported() {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// typeDescription describes the JSON values that decode into t, for messages.
func typeDescription(t reflect.Type) string {
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
	case reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint64:
		return "a whole number that is not negative"
	}
	return "a " + t.Kind().String()
}

// lineIndex holds the byte offset at which each line starts.
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

// lineCol returns the line and column of an offset, counted from 1.
func (x lineIndex) lineCol(offset int) (line, col int) {
	for line < len(x) && x[line] <= offset {
		line++
	}
	return line, offset - x[line-1] + 1
}
