package acct

import (
	"slices"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// Spec is the definition of an account in a configuration. It must not be changed.
type Spec struct {
	Account Account
	Keys    []Digest
}

// Field is a part of the definition of an account.
type Field int

// Fields of a definition.
const (
	FieldAccount Field = iota // the definition as a whole
	FieldName
	FieldPriority
	FieldRate
	FieldBurst
	FieldKey
)

// Problem says what is wrong with a field of a definition. It holds no key.
type Problem struct {
	Field Field
	Key   int // index of the key, if Field is FieldKey
	Msg   string
}

// Finding is a problem of one of the accounts of a configuration.
type Finding struct {
	Index int // of the account
	Problem
}

// Source is the definition of an account as it is written in a configuration.
type Source struct {
	// Content is different for different definitions. It is used to recognise a
	// definition of the version before.
	Content string
	// Decode returns the definition, with what is wrong with its form. The definition
	// is nil if it can't be read.
	Decode func() (*Spec, []Problem)
}

// Compiler builds the directories of successive configuration versions. Its zero
// value is ready to use. It is safe for concurrent use.
type Compiler struct {
	mu    sync.Mutex
	dir   *Directory       // of the version before, nil if there is none
	specs map[string]*Spec // definitions of dir by their content
	// decoded counts the definitions that were decoded, for tests.
	decoded int
}

// Compile returns the directory of a configuration with the given accounts, or what
// is wrong with them. What does not differ from the version compiled before is taken
// from there.
func (c *Compiler) Compile(sources []Source) (*Directory, []Finding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	specs, order, findings := c.decode(sources)
	if len(findings) == 0 && c.dir != nil && c.sameAs(specs) {
		return c.dir, nil
	}
	e := c.base().edit()
	for content, s := range c.specs {
		if specs[content] != s {
			e.remove(s)
		}
	}
	valid := len(findings) == 0
	for i, s := range order {
		if s == nil || c.specs[sources[i].Content] == s {
			continue
		}
		valid = len(e.add(s)) == 0 && valid
	}
	if !valid {
		return nil, addAll(order, findings)
	}
	c.dir, c.specs = e.d, specs
	return e.d, nil
}

// addAll adds to findings what is wrong with the given definitions together, apart from
// what is wrong with each. The result does not depend on the version before.
func addAll(order []*Spec, findings []Finding) []Finding {
	e := (&Directory{byName: map[string]*Account{}}).edit()
	for i, s := range order {
		if s == nil {
			continue
		}
		for _, p := range e.add(s) {
			findings = appendOnce(findings, Finding{i, p})
		}
	}
	return findings
}

// appendOnce appends f unless there is a finding about the same place.
func appendOnce(findings []Finding, f Finding) []Finding {
	same := func(o Finding) bool { return o.Index == f.Index && o.Field == f.Field && o.Key == f.Key }
	if slices.ContainsFunc(findings, same) {
		return findings
	}
	return append(findings, f)
}

// base returns the directory of the version before, or an empty one.
func (c *Compiler) base() *Directory {
	if c.dir == nil {
		return &Directory{byName: map[string]*Account{}}
	}
	return c.dir
}

// sameAs reports whether specs are the definitions of the version before.
func (c *Compiler) sameAs(specs map[string]*Spec) bool {
	if len(specs) != len(c.specs) {
		return false
	}
	for content, s := range specs {
		if c.specs[content] != s {
			return false
		}
	}
	return true
}

// decode returns the definitions of the given sources, by their content and in their
// order. Those that are not valid are missing in specs.
func (c *Compiler) decode(sources []Source) (specs map[string]*Spec, order []*Spec, findings []Finding) {
	specs = make(map[string]*Spec, len(sources))
	order = make([]*Spec, len(sources))
	for i, src := range sources {
		if s, ok := specs[src.Content]; ok {
			findings = append(findings, Finding{i, Problem{Field: FieldName, Msg: "account " + quote(s.Account.Name) + " is defined twice"}})
			continue
		}
		s, ok := c.specs[src.Content]
		if !ok {
			c.decoded++
			var problems []Problem
			s, problems = src.Decode()
			if s != nil {
				problems = append(problems, s.validate()...)
			}
			for _, p := range problems {
				findings = append(findings, Finding{i, p})
			}
			if len(problems) > 0 {
				order[i] = s
				continue
			}
		}
		specs[src.Content], order[i] = s, s
	}
	return specs, order, findings
}

// validate returns what is wrong with the definition by itself.
func (s *Spec) validate() []Problem {
	var out []Problem
	if err := validateName(s.Account.Name); err != nil {
		out = append(out, Problem{Field: FieldName, Msg: err.Error()})
	}
	if err := s.Account.Quota.Validate(); err != nil {
		field := FieldRate
		if validRate(s.Account.Quota.Rate) {
			field = FieldBurst
		}
		out = append(out, Problem{Field: field, Msg: err.Error()})
	}
	return out
}

// CheckKey returns an error, which does not repeat the key, if it can't be a key.
func CheckKey(key string) error {
	switch {
	case key == "":
		return errors.New("is empty")
	case len(key) > MaxKeyBytes:
		return errors.Errorf("has more than %d bytes", MaxKeyBytes)
	}
	return nil
}

// DigestKeys returns the digests of keys, with what is wrong with them.
func DigestKeys(keys []string) ([]Digest, []Problem) {
	var out []Digest
	var problems []Problem
	for i, k := range keys {
		if err := CheckKey(k); err != nil {
			problems = append(problems, Problem{Field: FieldKey, Key: i, Msg: err.Error()})
		}
		out = append(out, DigestOf(k))
	}
	return out, problems
}

// quote returns a name in quotation marks.
func quote(name string) string { return strconv.Quote(name) }
