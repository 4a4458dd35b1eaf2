package admit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shareInterval is how long a computed fair share is used.
	shareInterval = 100 * time.Millisecond
	// dividedShare is the share of the available slots that is divided. If all were, calls
	// within the share of their account would wait long for the last slots.
	dividedShare = 0.9
	// forgottenUse is the use below which an account is forgotten, in slot seconds.
	forgottenUse = 1e-3
)

// accountUse is what the calls of one client account have offered and taken lately, in
// slot seconds with exponential decay.
type accountUse struct {
	updated time.Time
	offered float64
	taken   float64 // by calls that were queued or started
}

func (u *accountUse) decay(now time.Time) {
	dt := now.Sub(u.updated)
	if dt <= 0 {
		return
	}
	u.updated = now
	f := decayFactor(dt)
	u.offered *= f
	u.taken *= f
}

// shares divides the capacity that one priority has among the client accounts that want
// it: each gets what it offers up to a level that is equal for all. So an account that
// sends many times its usual, or repeats its requests at once, takes room from itself
// only.
type shares struct {
	accounts map[string]*accountUse
	level    float64 // slot seconds an account
	levelAt  time.Time
}

// offer records that a call of an account is offered that would hold a slot for the
// given time. It returns 0 if the account has not taken its share. Otherwise it returns 1
// if the account offers less than twice its share, and 1 more for each doubling, so that
// accounts that offer about the same are ordered by the targets of their calls. available
// is the number of slots that the accounts share.
func (s *shares) offer(now time.Time, account string, hold time.Duration, available float64) (excess int) {
	if s.accounts == nil {
		s.accounts = map[string]*accountUse{}
	}
	u, ok := s.accounts[account]
	if !ok {
		u = &accountUse{updated: now}
		s.accounts[account] = u
	}
	u.decay(now)
	u.offered += hold.Seconds()
	if s.levelAt.IsZero() || now.Sub(s.levelAt) >= shareInterval {
		s.level, s.levelAt = s.computeLevel(now, dividedShare*available*usageWindow.Seconds()), now
	}
	if u.taken+hold.Seconds() <= s.level {
		return 0
	}
	return 1 + int(math.Log2(max(u.offered/s.level, 1)))
}

// take records that a call of an account was queued or started.
func (s *shares) take(now time.Time, account string, hold time.Duration) {
	if u, ok := s.accounts[account]; ok {
		u.decay(now)
		u.taken += hold.Seconds()
	}
}

// giveBack removes what is left of a call that take recorded at takenAt.
func (s *shares) giveBack(now time.Time, account string, hold time.Duration, takenAt time.Time) {
	if u, ok := s.accounts[account]; ok {
		u.decay(now)
		u.taken = max(u.taken-hold.Seconds()*decayFactor(now.Sub(takenAt)), 0)
	}
}

// computeLevel returns the level up to which the accounts can get what they offer if
// capacity is divided among them. It is infinite if there is enough for all.
func (s *shares) computeLevel(now time.Time, capacity float64) float64 {
	offers := make([]float64, 0, len(s.accounts))
	for name, u := range s.accounts {
		u.decay(now)
		if u.offered < forgottenUse {
			delete(s.accounts, name)
			continue
		}
		offers = append(offers, u.offered)
	}
	slices.SortFunc(offers, cmp.Compare[float64])
	for i, o := range offers {
		level := capacity / float64(len(offers)-i)
		if o > level {
			return level
		}
		capacity -= o
	}
	return math.Inf(1)
}
