package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous score of id for key.
func Score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(key)
	d.Write([]byte{0})
	d.WriteString(id)
	return d.Sum64()
}

// Top returns the n ids with the highest scores for key, in descending order.
func Top(key string, ids []string, n int) []string {
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, len(ids))
	for i, id := range ids {
		all[i] = scored{id, Score(key, id)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]string, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.id)
	}
	return out
}

// Best returns the id with the highest score for key, or "" if ids is empty.
func Best(key string, ids []string) string {
	best, score := "", uint64(0)
	for _, id := range ids {
		s := Score(key, id)
		if best == "" || s > score || s == score && id < best {
			best, score = id, s
		}
	}
	return best
}
