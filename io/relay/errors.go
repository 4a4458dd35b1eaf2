package relay

import "github.com/twitchtv/twirp"

var (
	errUnknownCentre = twirp.NewError(twirp.InvalidArgument, "data centre is not known here")
	errSummary       = twirp.NewError(twirp.InvalidArgument, "summary is not valid")
)
