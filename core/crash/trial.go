package crash

import "tanagerchute/core/rank"

// TrialGroup returns the data centre, or region, whose nodes run the trials of a work.
func TrialGroup(w Work, groups []string) string {
	return rank.Best("crash-group/"+w.String(), groups)
}

// TrialNode returns the node whose backend server runs the trials of a work, of the
// active nodes of a service in the group of TrialGroup. It is empty if there are none.
// Whether their servers work does not matter: otherwise the next node would run a trial
// when the server of the first one has ended, and before all nodes know of that.
func TrialNode(w Work, nodes []string) string {
	return rank.Best("crash-node/"+w.String(), nodes)
}
