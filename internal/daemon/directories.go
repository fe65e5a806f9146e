package daemon

import (
	"sync/atomic"

	"github.com/bambooyard/bambooyard/internal/batch"
	"github.com/bambooyard/bambooyard/internal/traffic"
)

// directories keeps the directory of the document in force, so that it is made
// once for each revision. It is safe for concurrent use.
type directories struct {
	latest atomic.Pointer[directoryOf]
}

type directoryOf struct {
	digest    string
	directory *batch.Directory
}

// of returns the directory of a snapshot's document.
func (d *directories) of(s *traffic.Snapshot) *batch.Directory {
	if known := d.latest.Load(); known != nil && known.digest == s.Head.Digest {
		return known.directory
	}
	made := &directoryOf{s.Head.Digest, batch.NewDirectory(s.Document)}
	d.latest.Store(made)
	return made.directory
}
