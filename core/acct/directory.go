package acct

import "maps"

// numShards is the number of parts that the keys of a directory are divided into.
// A changed key leads to a copy of its part only.
const numShards = 256

// shard holds the accounts by the digests of their keys, for digests with one first
// byte.
type shard map[Digest]*Account

// Directory is the set of the accounts of one configuration version. It is
// immutable.
type Directory struct {
	byName map[string]*Account
	shards [numShards]shard
}

// Find returns the account that holds the key with the given digest. The time that it
// takes does not depend on the key, since only digests are compared.
func (d *Directory) Find(key Digest) (*Account, bool) {
	a, ok := d.shards[key[0]][key]
	return a, ok
}

// Account returns the account with the given name.
func (d *Directory) Account(name string) (*Account, bool) {
	a, ok := d.byName[name]
	return a, ok
}

// Len returns the number of accounts.
func (d *Directory) Len() int { return len(d.byName) }

// editor changes a copy of a directory. The copy shares the shards that do not
// change.
type editor struct {
	d      *Directory
	copied [numShards]bool
}

// edit returns an editor of a copy of d.
func (d *Directory) edit() *editor {
	return &editor{d: &Directory{byName: maps.Clone(d.byName), shards: d.shards}}
}

// shard returns the shard of a digest for changes.
func (e *editor) shard(key Digest) shard {
	i := key[0]
	if !e.copied[i] {
		e.copied[i] = true
		s := make(shard, len(e.d.shards[i])+1)
		maps.Copy(s, e.d.shards[i])
		e.d.shards[i] = s
	}
	return e.d.shards[i]
}

// remove removes an account with its keys.
func (e *editor) remove(s *Spec) {
	delete(e.d.byName, s.Account.Name)
	for _, k := range s.Keys {
		delete(e.shard(k), k)
	}
}

// add adds an account with its keys, and returns what is wrong with it. What is in
// conflict with another account is left out.
func (e *editor) add(s *Spec) []Problem {
	var out []Problem
	if _, ok := e.d.byName[s.Account.Name]; ok {
		return append(out, Problem{Field: FieldName, Msg: "account " + quote(s.Account.Name) + " is defined twice"})
	}
	e.d.byName[s.Account.Name] = &s.Account
	for i, k := range s.Keys {
		sh := e.shard(k)
		if other, ok := sh[k]; ok && other != &s.Account {
			out = append(out, Problem{Field: FieldKey, Key: i, Msg: "is also a key of account " + quote(other.Name)})
			continue
		}
		sh[k] = &s.Account
	}
	return out
}
