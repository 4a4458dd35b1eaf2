package tokens

import "time"

// Message asks a keeper for tokens.
type Message struct {
	From string // id of the node that sends it
	To   string // id of the keeper
	Seq  uint64 // increases with each message of the node
	Asks []Ask
}

// Ask is the part of a message about one account.
type Ask struct {
	Account string
	// Stint counts the keepers that the holder has had for the account, so that a
	// keeper does not compare Spent with what it heard before another one.
	Stint uint64
	Spent int64 // tokens spent so far, less those of requests that did not run
	Held  int   // tokens that can still be spent
	// Needed is the number of requests that wait, and Ahead that of tokens to be held
	// for later ones.
	Needed int
	Ahead  int
	// Refused is the number of requests refused since the last message without asking.
	Refused int
}

// Reply answers a message.
type Reply struct{ Grants []Grant }

// Grant is the part of a reply about one account.
type Grant struct {
	Account string
	Tokens  int
	// Elsewhere reports that the node does not take itself for the keeper, or has just
	// started.
	Elsewhere bool
	// Wait is the time until the first of the requests that get no token could pass,
	// and Interval the time until each further one.
	Wait     time.Duration
	Interval time.Duration
	State    BucketState
}

// BucketState is the state of the bucket of an account that led to a grant, for log
// lines.
type BucketState struct {
	Rate  float64 // tokens a second that this keeper gives out
	Depth float64
	Level float64 // tokens left
	Part  float64 // of the quota that this keeper gives out
}
