package daemon

import (
	"sync/atomic"

	"github.com/bambooyard/bambooyard/internal/batch"
	"github.com/bambooyard/bambooyard/internal/traffic"
)

// directoryCache holds the directory of the latest document, so that it is
// built once for each document. It is safe for concurrent use.
type directoryCache struct {
	latest atomic.Pointer[cachedDirectory]
}

// cachedDirectory is a directory with the digest of its document.
type cachedDirectory struct {
	digest    string
	directory *batch.Directory
}

// get returns the directory of a snapshot's document.
func (d *directoryCache) get(s *traffic.Snapshot) *batch.Directory {
	if cached := d.latest.Load(); cached != nil && cached.digest == s.Head.Digest {
		return cached.directory
	}
	built := &cachedDirectory{s.Head.Digest, batch.NewDirectory(s.Document)}
	d.latest.Store(built)
	return built.directory
}
