package node

import (
	"reflect"
	"strings"

	"tanagerchute/core/event"
	"tanagerchute/io/proxy"
	"tanagerchute/io/setup"
)

// Reload applies changed settings. The settings of the planned stop and the
// retry budget take effect at once. Other changes take effect when the process
// is restarted, and are listed in the event of the reload.
func (n *Node) Reload(s setup.Node) {
	n.settings.Store(&s)
	n.proxy.SetRetryLimits(retryLimits(s))
	deferred := settingsNeedingRestart(n.cfg.Settings, s)
	cause := "in force"
	if len(deferred) > 0 {
		cause = "at the next start: " + strings.Join(deferred, ", ")
	}
	n.recordEvent(event.NodeReloaded, cause)
}

// RecordRefusedReload adds an event to the journal about changed settings that
// were not applied because they are not valid.
func (n *Node) RecordRefusedReload(err error) {
	n.recordEvent(event.ReloadRefused, strings.ReplaceAll(err.Error(), "\n", "; "))
}

// drainSettings returns the settings of a planned stop.
func (n *Node) drainSettings() setup.Drain { return n.settings.Load().Drain }

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
