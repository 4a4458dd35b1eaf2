package tanagerchute

import "tanagerchute/core/canary"

// RolloutFormat is where operators write orders of roll-outs in the store, and read what
// became of them.
type RolloutFormat interface {
	// OrderPrefix returns the prefix of the keys of orders. It ends with a slash.
	OrderPrefix() string
	// ParseOrder returns the order that a value holds. The error lists all findings.
	ParseOrder(key string, value []byte) (canary.Request, error)
	// FormatStatus returns the key and the value of the status of a roll-out.
	FormatStatus(s canary.Stage) (key string, value []byte, err error)
}
