package config_test

import (
	"encoding/hex"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tanagerchute/core/acct"
	"tanagerchute/core/config"
)

// documentWithAccounts returns a document with client accounts.
func documentWithAccounts(accounts string) []byte {
	return []byte(`{"deployment": "x", // kept
"accounts": ` + accounts + `,
"services": [{"name": "s", "classes": [
  {"name": "c", "match": [{"path": "/"}], "answer_within": "1s", "may_wait": "0s"},
  {"name": "open", "match": [{"path": "/open"}], "answer_within": "1s", "may_wait": "0s", "anonymous": true}]}]}`)
}

// TestAccounts checks what a table holds of the accounts of a document. Hiding the keys
// changes nothing about it.
func TestAccounts(t *testing.T) {
	is := is.New(t)
	digest := acct.DigestOf("third")
	plain := documentWithAccounts(`[{"name": "Hafnar ehf", "keys": ["first", "second"], "priority": 0, "rate": 4.5, "burst": 9}, {"name": "dalur", "keys": ["sha256:` + hex.EncodeToString(digest[:]) + `"]}]`)
	hidden, err := config.HideKeys(plain)
	is.NoErr(err)
	is.True(!strings.Contains(string(hidden), "first") && strings.Contains(string(hidden), "// kept"))
	again, err := config.HideKeys(hidden)
	is.NoErr(err)
	is.Equal(string(again), string(hidden))
	for _, text := range [][]byte{plain, hidden} {
		d, err := config.Parse("mesh.jsonc", text)
		is.NoErr(err)
		table, err := d.Compile()
		is.NoErr(err)
		for key, name := range map[string]string{"first": "Hafnar ehf", "second": "Hafnar ehf", "third": "dalur", "fourth": ""} {
			a, ok := table.Accounts().Find(acct.DigestOf(key))
			is.Equal(ok, name != "")
			is.True(!ok || a.Name == name)
		}
		open, _ := table.Match("s", "GET", "/open")
		other, _ := table.Match("s", "GET", "/")
		is.True(open.Anonymous && !other.Anonymous)
	}
}

// TestAccountFindings checks that all findings about accounts are reported with their
// position, and that none repeats a key.
func TestAccountFindings(t *testing.T) {
	is := is.New(t)
	const secret = "s3cr3t"
	_, err := config.Parse("mesh.jsonc", documentWithAccounts(`[
{"name": "a", "keys": ["`+secret+`", "x", "x"]},
{"name": "b", "keys": ["`+secret+`"]},
{"name": "c", "keys": ["", 5, {"`+secret+`": "`+secret+`"}, "sha256:`+secret+`"]},
{"name": "d", "keys": "`+secret+`", "rate": -1},
{"name": "e", "burst": 5, "priority": -1},
{"name": "a", "rate": 1e10},
{"name": "", "rate": 1e999}]`))
	is.True(err != nil)
	want := []string{
		`mesh.jsonc:4:24: accounts.1.keys.0: is also a key of account "a"`,
		`mesh.jsonc:5:24: accounts.2.keys.0: is empty`,
		`mesh.jsonc:5:28: accounts.2.keys.1: is another value, but a string is wanted`,
		`mesh.jsonc:5:31: accounts.2.keys.2: is an object, but a string is wanted`,
		`mesh.jsonc:5:53: accounts.2.keys.3: is not a SHA-256 digest of 64 hex digits`,
		`mesh.jsonc:6:23: accounts.3.keys: is another value, but a list is wanted`,
		`mesh.jsonc:6:41: accounts.3.rate: rate -1 is not between 0 and 1e+09`,
		`mesh.jsonc:7:24: accounts.4.burst: burst 5 has no rate`,
		`mesh.jsonc:7:39: accounts.4.priority: must not be negative`,
		`mesh.jsonc:8:10: accounts.5.name: account "a" is defined twice`,
		`mesh.jsonc:8:23: accounts.5.rate: rate 1e+10 is not between 0 and 1e+09`,
		`mesh.jsonc:9:10: accounts.6.name: is empty`,
		`mesh.jsonc:9:22: accounts.6.rate: is 1e999, but a number is wanted`,
	}
	got := strings.Split(err.Error(), "\n")
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("no finding %q", w)
		}
	}
	is.Equal(len(got), len(want))
	is.True(!strings.Contains(err.Error(), secret))

	_, err = config.Parse("mesh.jsonc", documentWithAccounts(`[{"name": "a", "keys": [`+secret+`]}]`))
	is.True(err != nil && !strings.Contains(err.Error(), secret))
}
