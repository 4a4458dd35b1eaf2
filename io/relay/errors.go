package relay

import "github.com/twitchtv/twirp"

var (
	errUnknownDataCentre = twirp.NewError(twirp.InvalidArgument, "data centre is not configured at this node")
	errInvalidSummary    = twirp.NewError(twirp.InvalidArgument, "summary is not valid")
)
