package node

import (
	"runtime/debug"
	"sync"
)

// revisionDigits is the number of digits of a revision in the build version.
const revisionDigits = 12

// buildVersion returns the version of the running program: the revision that it
// was built from, or the module version if the revision is not recorded.
var buildVersion = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, modified := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), revisionDigits)]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+modified"
		}
	}
	if revision == "" {
		return info.Main.Version
	}
	return revision + modified
})
