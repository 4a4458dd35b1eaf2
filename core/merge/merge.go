// Package merge compares documents and rebases one operator's change on
// another's.
//
// Two changes conflict if they change the same service. Changes without a
// conflict are merged by service. The text of each service is kept as its author
// wrote it, comments included.
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
	"tanagerchute/core/jsonc"
)

// Change is a difference between two documents at a dotted path. Old or New is
// empty if that document does not have the value.
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
	oldValues, newValues := flatten(old), flatten(new)
	var out []Change
	for _, path := range slices.Sorted(maps.Keys(oldValues)) {
		if oldValues[path] != newValues[path] {
			out = append(out, Change{path, oldValues[path], newValues[path]})
		}
	}
	for path, v := range newValues {
		if _, ok := oldValues[path]; !ok {
			out = append(out, Change{Path: path, New: v})
		}
	}
	slices.SortFunc(out, func(x, y Change) int { return strings.Compare(x.Path, y.Path) })
	return out
}

// flatten returns the values of d as text by their dotted paths.
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
			if c.Anonymous {
				m[path+".anonymous"] = "true"
			}
		}
	}
	for _, a := range d.Accounts {
		flattenAccount(m, a)
	}
	return m
}

// flattenAccount adds the values of an account to m. A key is shown by the first digits
// of its digest.
func flattenAccount(m map[string]string, a config.Account) {
	path := "accounts." + a.Name
	m[path+".rate"] = fmt.Sprint(a.Rate)
	m[path+".burst"] = fmt.Sprint(a.Burst)
	if a.Priority != nil {
		m[path+".priority"] = fmt.Sprint(*a.Priority)
	}
	for _, k := range a.Keys {
		m[path+".keys."+config.DescribeKey(k)] = "present"
	}
}

// jsonText returns v as JSON.
func jsonText(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// ConflictError means that two changes change the same services.
type ConflictError struct {
	Services []string
}

// Error returns a message with the names of the services.
func (e *ConflictError) Error() string {
	return "both changes touch " + strings.Join(e.Services, ", ")
}

// Rebase applies the changes from base to mine to theirs and returns the result, with
// keys as digests. It returns a *ConflictError if theirs changed one of the same
// services, or if both changed the client accounts.
func Rebase(base, theirs, mine []byte) ([]byte, error) {
	baseTree, err := parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "parse base")
	}
	theirsTree, err := parse(theirs)
	if err != nil {
		return nil, errors.Wrap(err, "parse newest version")
	}
	mineTree, err := parse(mine)
	if err != nil {
		return nil, errors.Wrap(err, "parse document")
	}
	changedByMine, changedByTheirs := changedServices(baseTree, mineTree), changedServices(baseTree, theirsTree)
	if conflicts := intersect(changedByMine, changedByTheirs); len(conflicts) > 0 {
		return nil, &ConflictError{conflicts}
	}
	for _, name := range changedByMine {
		if name == accountsName {
			theirsTree.replaceAccounts(mineTree)
			continue
		}
		theirsTree.replaceService(name, mineTree)
	}
	return theirsTree.root.Pack(), nil
}

// syntaxTree is a parsed document that keeps its comments and formatting.
type syntaxTree struct {
	root      hujson.Value
	list      *hujson.Array
	services  map[string]hujson.Value
	minimized map[string]string // services without comments and white space
}

// parse returns the syntax tree of a document.
func parse(data []byte) (*syntaxTree, error) {
	data, err := config.HideKeys(data)
	if err != nil {
		return nil, err
	}
	root, err := jsonc.Parse(data)
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
		minimized := arr.Elements[i].Clone()
		minimized.Minimize()
		t.minimized[name] = minimized.String()
	}
	if accounts := t.root.Find("/" + accountsField); accounts != nil {
		minimized := accounts.Clone()
		minimized.Minimize()
		t.minimized[accountsName] = minimized.String()
	}
	return t, nil
}

// accountsField is the field of a document that holds the client accounts. accountsName
// stands for them among the names of services, none of which contains a space.
const (
	accountsField = "accounts"
	accountsName  = "client accounts"
)

// replaceAccounts gives t the client accounts of from. It removes them if from has none.
func (t *syntaxTree) replaceAccounts(from *syntaxTree) {
	object, ok := t.root.Value.(*hujson.Object)
	if !ok {
		return
	}
	object.Members = slices.DeleteFunc(object.Members, isAccounts)
	source, _ := from.root.Value.(*hujson.Object)
	if i := slices.IndexFunc(source.Members, isAccounts); i >= 0 {
		object.Members = append(object.Members, source.Members[i])
	}
}

// isAccounts reports whether m holds the client accounts.
func isAccounts(m hujson.ObjectMember) bool {
	name, ok := m.Name.Value.(hujson.Literal)
	return ok && name.String() == accountsField
}

// serviceName returns the name of a service, or "" if it has none.
func serviceName(v *hujson.Value) string {
	n := v.Find("/name")
	if n == nil {
		return ""
	}
	lit, _ := n.Value.(hujson.Literal)
	return lit.String()
}

// changedServices returns the sorted names of the services that differ between a
// and b, apart from comments and white space.
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

// intersect returns the elements of a that are in b.
func intersect(a, b []string) []string {
	var out []string
	for _, x := range a {
		if slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	return out
}

// replaceService gives t the service called name as it is in from. It removes
// the service if from does not have it.
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
