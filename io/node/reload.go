package node

import (
	"reflect"
	"strings"

	"tanagerchute/core/event"
	"tanagerchute/io/proxy"
	"tanagerchute/io/setup"
)

// Reload takes changed settings. The planned stop and the budget of resends
// follow them at once; other changes are named in the log and wait for the next
// start of the process.
func (n *Node) Reload(s setup.Node) {
	n.settings.Store(&s)
	n.proxy.SetRetryLimits(retryOf(s))
	waits := changed(n.cfg.Settings, s)
	cause := "in force"
	if len(waits) > 0 {
		cause = "at the next start: " + strings.Join(waits, ", ")
	}
	n.event(event.NodeReloaded, cause)
}

// RecordRefusedReload notes that changed settings are not valid and are not taken.
func (n *Node) RecordRefusedReload(err error) {
	n.event(event.ReloadRefused, strings.ReplaceAll(err.Error(), "\n", "; "))
}

// drainSettings returns the settings of a planned stop.
func (n *Node) drainSettings() setup.Drain { return n.settings.Load().Drain }

func retryOf(s setup.Node) proxy.RetryLimits {
	return proxy.RetryLimits{Share: s.Limits.RetryShare, Burst: s.Limits.RetrySlack}
}

// changed returns the names of the settings that differ and that a running
// process can't follow.
func changed(old, s setup.Node) []string {
	var out []string
	s.Drain = old.Drain
	s.Limits.RetryShare, s.Limits.RetrySlack = old.Limits.RetryShare, old.Limits.RetrySlack
	a, b := reflect.ValueOf(old), reflect.ValueOf(s)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
			out = append(out, name)
		}
	}
	return out
}
