package config

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"

	"tanagerchute/core/acct"
	"tanagerchute/core/jsonc"
)

// digestPrefix marks a key that is given by its digest.
const digestPrefix = "sha256:"

// compileAccounts adds findings about the client accounts and returns their directory.
func (v *validator) compileAccounts(c *acct.Compiler, accounts []Account) *acct.Directory {
	sources := make([]acct.Source, len(accounts))
	for i, a := range accounts {
		sources[i] = acct.Source{Content: a.text(), Decode: a.spec}
	}
	directory, findings := c.Compile(sources)
	for _, f := range findings {
		v.Add(accountPath(f), "%s", f.Msg)
	}
	return directory
}

// text returns a text that is different for different accounts.
func (a Account) text() string {
	b, err := json.Marshal(a)
	if err != nil {
		return a.Name // a number that JSON does not have, so the account is not valid
	}
	return string(b)
}

// spec returns the definition of the account, with what is wrong with its form.
func (a Account) spec() (*acct.Spec, []acct.Problem) {
	s := &acct.Spec{Account: acct.Account{Name: a.Name, Quota: acct.Quota{Rate: a.Rate, Burst: a.Burst}}}
	var problems []acct.Problem
	if a.Priority != nil {
		s.Account.Priority, s.Account.HasPriority = *a.Priority, true
		if *a.Priority < 0 {
			problems = append(problems, acct.Problem{Field: acct.FieldPriority, Msg: "must not be negative"})
		}
	}
	for i, k := range a.Keys {
		digest, err := digestOfKey(k)
		if err != nil {
			problems = append(problems, acct.Problem{Field: acct.FieldKey, Key: i, Msg: err.Error()})
		}
		s.Keys = append(s.Keys, digest)
	}
	return s, problems
}

// digestOfKey returns the digest of a key as a document holds it. The error does not
// repeat the key.
func digestOfKey(k string) (acct.Digest, error) {
	if digits, ok := strings.CutPrefix(k, digestPrefix); ok {
		return acct.ParseDigest(digits)
	}
	return acct.DigestOf(k), acct.CheckKey(k)
}

// DescribeKey returns the first digits of a key's digest, for people.
func DescribeKey(k string) string {
	const shownBytes = 6
	digest, err := digestOfKey(k)
	if err != nil {
		return "invalid"
	}
	return digestPrefix + hex.EncodeToString(digest[:shownBytes])
}

// HideKeys returns a document with the keys of its client accounts as digests, which
// mean the same. Everything else stays as it is, comments included.
func HideKeys(data []byte) ([]byte, error) {
	root, err := jsonc.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("document is not valid JSON with comments")
	}
	for _, account := range elements(root.Find("/accounts")) {
		keys := elements(account.Find("/keys"))
		for i := range keys {
			hideKey(&keys[i])
		}
	}
	return root.Pack(), nil
}

// elements returns the elements of a list, none if v is no list.
func elements(v *hujson.Value) []hujson.Value {
	if v == nil {
		return nil
	}
	if list, ok := v.Value.(*hujson.Array); ok {
		return list.Elements
	}
	return nil
}

// hideKey replaces a key by its digest.
func hideKey(v *hujson.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		return
	}
	if k := l.String(); !strings.HasPrefix(k, digestPrefix) {
		digest := acct.DigestOf(k)
		v.Value = hujson.String(digestPrefix + hex.EncodeToString(digest[:]))
	}
}

// accountPath returns the dotted path of what a finding is about.
func accountPath(f acct.Finding) string {
	path := fmt.Sprintf("accounts.%d", f.Index)
	switch f.Field {
	case acct.FieldName:
		return path + ".name"
	case acct.FieldPriority:
		return path + ".priority"
	case acct.FieldRate:
		return path + ".rate"
	case acct.FieldBurst:
		return path + ".burst"
	case acct.FieldKey:
		return fmt.Sprintf("%s.keys.%d", path, f.Key)
	}
	return path
}
