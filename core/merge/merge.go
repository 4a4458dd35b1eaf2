// Package merge compares documents and rebases one operator's change on
// another's.
//
// Two changes overlap if they touch the same service. Changes that do not
// overlap are merged by service, and the text of each service is taken as its
// author wrote it, comments included.
//
// # Usage
//
//	for _, c := range merge.Diff(old, new) { fmt.Println(c) }
//	merged, err := merge.Rebase(base, theirs, mine)
package merge

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"tanagerchute/core/config"
)

// Change is a difference between two documents at a dotted path. Old or New is
// empty if the value does not exist on that side.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns the differences between two documents, sorted by path. Services
// and classes are matched by name. Either document may be nil.
func Diff(old, new *config.Document) []Change {
	a, b := flatten(old), flatten(new)
	var out []Change
	for _, path := range slices.Sorted(maps.Keys(a)) {
		if a[path] != b[path] {
			out = append(out, Change{path, a[path], b[path]})
		}
	}
	for path, v := range b {
		if _, ok := a[path]; !ok {
			out = append(out, Change{Path: path, New: v})
		}
	}
	slices.SortFunc(out, func(x, y Change) int { return strings.Compare(x.Path, y.Path) })
	return out
}

func flatten(d *config.Document) map[string]string {
	m := map[string]string{}
	if d == nil {
		return m
	}
	m["deployment"] = d.Deployment
	for _, s := range d.Services {
		m[s.Name+".calls"] = jsonText(s.Calls)
		for _, c := range s.Classes {
			path := s.Name + "." + c.Name
			m[path+".match"] = jsonText(c.Match)
			m[path+".answer_within"] = c.AnswerWithin.Std().String()
			m[path+".may_wait"] = c.MayWait.Std().String()
			m[path+".at_most_once"] = fmt.Sprint(c.AtMostOnce)
		}
	}
	return m
}

func jsonText(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Overlap means that two changes touch the same services.
type ConflictError struct {
	Services []string
}

// Error names the services.
func (o *ConflictError) Error() string {
	return "both changes touch " + strings.Join(o.Services, ", ")
}

// Rebase returns theirs with the services replaced that mine changed against
// base. It returns an *Overlap if theirs changed one of them as well.
func Rebase(base, theirs, mine []byte) ([]byte, error) {
	b, err := parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "base")
	}
	t, err := parse(theirs)
	if err != nil {
		return nil, errors.Wrap(err, "newest version")
	}
	m, err := parse(mine)
	if err != nil {
		return nil, errors.Wrap(err, "document")
	}
	changedByMine, changedByTheirs := changedServices(b, m), changedServices(b, t)
	if conflicts := intersect(changedByMine, changedByTheirs); len(conflicts) > 0 {
		return nil, &ConflictError{conflicts}
	}
	for _, name := range changedByMine {
		t.replaceService(name, m)
	}
	return t.root.Pack(), nil
}

// tree is a document as syntax.
type syntaxTree struct {
	root      hujson.Value
	list      *hujson.Array
	services  map[string]hujson.Value
	minimized map[string]string // services without comments and spaces
}

func parse(data []byte) (*syntaxTree, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, err
	}
	t := &syntaxTree{root: root, services: map[string]hujson.Value{}, minimized: map[string]string{}}
	list := t.root.Find("/services")
	if list == nil {
		return nil, errors.New("document has no services")
	}
	arr, ok := list.Value.(*hujson.Array)
	if !ok {
		return nil, errors.New("services is not a list")
	}
	t.list = arr
	for i := range arr.Elements {
		name := serviceName(&arr.Elements[i])
		t.services[name] = arr.Elements[i]
		c := arr.Elements[i].Clone()
		c.Minimize()
		t.minimized[name] = c.String()
	}
	return t, nil
}

func serviceName(v *hujson.Value) string {
	n := v.Find("/name")
	if n == nil {
		return ""
	}
	lit, _ := n.Value.(hujson.Literal)
	return lit.String()
}

// changed returns the names of the services that differ between a and b.
func changedServices(a, b *syntaxTree) []string {
	var out []string
	for name, text := range a.minimized {
		if b.minimized[name] != text {
			out = append(out, name)
		}
	}
	for name := range b.minimized {
		if _, ok := a.minimized[name]; !ok {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func intersect(a, b []string) []string {
	var out []string
	for _, x := range a {
		if slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	return out
}

// replace gives t the service called name as it is in from.
func (t *syntaxTree) replaceService(name string, from *syntaxTree) {
	v, exists := from.services[name]
	i := slices.IndexFunc(t.list.Elements, func(e hujson.Value) bool { return serviceName(&e) == name })
	switch {
	case exists && i >= 0:
		t.list.Elements[i] = v
	case exists:
		t.list.Elements = append(t.list.Elements, v)
	case i >= 0:
		t.list.Elements = slices.Delete(t.list.Elements, i, i+1)
	}
}
