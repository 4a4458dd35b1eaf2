package node

import (
	"reflect"
	"strings"
	"time"

	"tanagerchute/core/drift"
	"tanagerchute/core/event"
	"tanagerchute/io/proxy"
	"tanagerchute/io/setup"
	"tanagerchute/io/wire"
)

// settingsState is the state of a node's settings. It is immutable.
type settingsState struct {
	inForce  setup.Node
	compared drift.Settings // inForce, in the form that nodes are compared by
	loadedAt time.Time      // when they came into force
	pending  string         // why the settings file differs from them, or empty
}

func newSettingsState(s setup.Node, loadedAt time.Time) *settingsState {
	return &settingsState{inForce: s, compared: drift.NewSettings(s.Values()), loadedAt: loadedAt}
}

// withPending returns a copy of st with another reason why the file differs.
func (st *settingsState) withPending(reason string) *settingsState {
	out := *st
	out.pending = reason
	return &out
}

// Reload applies changed settings as a whole, or not at all. Those of the planned
// stop and of the retry budget can change while the process runs. If any other
// setting has changed, all changes take effect when the process is restarted, so
// that a node never runs a mixture of two files.
func (n *Node) Reload(s setup.Node) {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	current := n.settings.Load()
	if deferred := settingsNeedingRestart(current.inForce, s); len(deferred) > 0 {
		reason := "all changes take effect at the next start: " + strings.Join(deferred, ", ")
		n.settings.Store(current.withPending(reason))
		n.recordEvent(event.NodeReloaded, reason)
		return
	}
	next := newSettingsState(s, time.Now())
	if next.compared.Digest() == current.compared.Digest() {
		next.loadedAt = current.loadedAt
	}
	n.settings.Store(next)
	n.proxy.SetRetryLimits(retryLimits(s))
	n.recordEvent(event.NodeReloaded, "in force: settings "+next.compared.Digest())
}

// RecordRefusedReload records that changed settings were not applied because they
// are not valid.
func (n *Node) RecordRefusedReload(err error) {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	reason := strings.ReplaceAll(err.Error(), "\n", "; ")
	n.settings.Store(n.settings.Load().withPending("refused: " + reason))
	n.recordEvent(event.ReloadRefused, reason)
}

// drainSettings returns the settings of a planned stop.
func (n *Node) drainSettings() setup.Drain { return n.settings.Load().inForce.Drain }

// retryLimits returns the limits of the retry budget in the settings.
func retryLimits(s setup.Node) proxy.RetryLimits {
	return proxy.RetryLimits{Share: s.Limits.RetryShare, Burst: s.Limits.RetrySlack}
}

// settingsNeedingRestart returns the names of the changed settings that Reload
// can't apply to a running process.
func settingsNeedingRestart(old, updated setup.Node) []string {
	var out []string
	updated.Drain = old.Drain
	updated.Limits.RetryShare, updated.Limits.RetrySlack = old.Limits.RetryShare, old.Limits.RetrySlack
	a, b := reflect.ValueOf(old), reflect.ValueOf(updated)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
			out = append(out, name)
		}
	}
	return out
}

// reportSettings describes the settings of this node, with their values if
// withValues is set.
func (n *Node) reportSettings(withValues bool) *wire.SettingsReport {
	st := n.settings.Load()
	r := &wire.SettingsReport{
		Digest: st.compared.Digest(), LoadedAt: st.loadedAt.UnixNano(), Pending: st.pending, Build: buildVersion(),
	}
	if withValues {
		r.Values = st.compared.Values()
	}
	return r
}
