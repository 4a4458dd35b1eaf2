package jsonc

import (
	"fmt"

	"github.com/tailscale/hujson"
)

// maxDepth bounds how deeply a document may be nested. The parser of the library recurses,
// and would exhaust the stack, which ends the process.
const maxDepth = 64

// Parse returns the syntax tree of a document. It shares the bytes of data.
func Parse(data []byte) (hujson.Value, error) {
	if offset, ok := tooDeep(data); ok {
		line, col := newLineIndex(data).lineCol(offset)
		return hujson.Value{}, fmt.Errorf("hujson: line %d, column %d: nested more than %d deep", line, col, maxDepth)
	}
	return hujson.Parse(data)
}

// tooDeep returns the offset of the first bracket that is nested too deeply. Brackets in
// strings and comments don't count.
func tooDeep(data []byte) (offset int, ok bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '[', '{':
			if depth++; depth > maxDepth {
				return i, true
			}
		case ']', '}':
			depth--
		case '"':
			i = endOfString(data, i)
		case '/':
			i = endOfComment(data, i)
		}
	}
	return 0, false
}

// endOfString returns the offset of the quotation mark that ends the string at i.
func endOfString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the offset of the last byte of the comment at i, or i if there is none.
func endOfComment(data []byte, i int) int {
	if i+1 >= len(data) {
		return i
	}
	switch data[i+1] {
	case '/':
		for i < len(data) && data[i] != '\n' {
			i++
		}
	case '*':
		for i += 3; i < len(data) && (data[i-1] != '*' || data[i] != '/'); i++ {
		}
	}
	return i
}
