package ledger

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/canary"
	"tanagerchute/core/jsonc"
)

// RolloutFormat implements tanagerchute.RolloutFormat with keys below those of the
// deployment.
type RolloutFormat struct {
	Deployment string
}

var _ tanagerchute.RolloutFormat = RolloutFormat{}

// rolloutOrder is the value of an order.
type rolloutOrder struct {
	Target string         `json:"target_version"`
	Within jsonc.Duration `json:"complete_within"`
}

// RolloutStatus is the value of the status of a roll-out.
type RolloutStatus struct {
	Service string `json:"service"`
	State   string `json:"state"` // name of the canary.Phase
	Target  string `json:"target_version"`
	Reason  string `json:"reason,omitempty"`
}

// Prefix returns the prefix of all keys of roll-outs.
func (f RolloutFormat) Prefix() string { return Prefix(f.Deployment) + "rollout/" }

// OrderPrefix implements tanagerchute.RolloutFormat.
func (f RolloutFormat) OrderPrefix() string { return f.Prefix() + "order/" }

// StatusPrefix returns the prefix of the keys of the statuses.
func (f RolloutFormat) StatusPrefix() string { return f.Prefix() + "status/" }

// ParseOrder implements tanagerchute.RolloutFormat.
func (f RolloutFormat) ParseOrder(key string, value []byte) (canary.Request, error) {
	var o rolloutOrder
	if err := json.Unmarshal(value, &o); err != nil {
		return canary.Request{}, errors.Wrapf(err, "decode order %q", key)
	}
	r := canary.Request{Service: strings.TrimPrefix(key, f.OrderPrefix()), Target: o.Target, Within: o.Within.Std()}
	if err := r.Validate(); err != nil {
		return canary.Request{}, errors.Wrapf(err, "order %q", key)
	}
	return r, nil
}

// FormatOrder returns the key and the value of an order.
func (f RolloutFormat) FormatOrder(r canary.Request) (key string, value []byte, err error) {
	if err := r.Validate(); err != nil {
		return "", nil, err
	}
	value, err = json.Marshal(rolloutOrder{r.Target, jsonc.Duration(r.Within)})
	return f.OrderPrefix() + r.Service, value, err
}

// FormatStatus implements tanagerchute.RolloutFormat.
func (f RolloutFormat) FormatStatus(s canary.Stage) (string, []byte, error) {
	value, err := json.Marshal(RolloutStatus{s.Service, s.Phase.String(), s.Target, s.Reason})
	return f.StatusPrefix() + s.Service, value, err
}
