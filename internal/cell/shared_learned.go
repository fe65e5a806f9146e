package cell

import (
	"github.com/bambooyard/bambooyard/dispatch"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
)

// Cells tell each other, through the owner of the lead cell, which images disturb each
// other. Otherwise each cell would disturb its services once to learn each pair.

type pairKey struct{ service, bestEffort string }

// sharedPairs holds the latest distribution of each pair, and the version at which it was
// told.
type sharedPairs struct {
	version  uint64
	versions map[pairKey]uint64
	pairs    map[pairKey]dispatch.LearnedPair
}

// add records pairs. The versions of an owner of the lead cell are above those of former
// ones, because they start from the time.
func (s *sharedPairs) add(pairs []dispatch.LearnedPair, unixMS int64) {
	if len(pairs) == 0 {
		return
	}
	s.version = max(s.version+1, uint64(unixMS))
	for _, p := range pairs {
		key := pairKey{p.Service, p.BestEffort}
		s.pairs[key], s.versions[key] = p, s.version
	}
}

// after returns the pairs that were told after a version, and the current version.
func (s *sharedPairs) after(version uint64) ([]*peerpb.LearnedPair, uint64) {
	var later []dispatch.LearnedPair
	if version < s.version {
		for key, v := range s.versions {
			if v > version {
				later = append(later, s.pairs[key])
			}
		}
	}
	return encodePairs(later), s.version
}

// shareLearned records what a cell has learned and applies it to the other cells that this
// daemon owns.
func (g *Group) shareLearned(pairs []dispatch.LearnedPair, from *Cell) {
	g.shared.add(pairs, g.lead.Wall().UnixMilli())
	g.importLearned(pairs, from)
}

// importLearned applies what other cells have learned to the cells that this daemon owns,
// except the one that it comes from.
func (g *Group) importLearned(pairs []dispatch.LearnedPair, from *Cell) {
	if len(pairs) == 0 {
		return
	}
	for _, c := range append(g.others(), g.lead) {
		if c != from && c.term != nil {
			c.term.engine.ImportLearned(pairs)
		}
	}
}

// shareOwnLearned records what the cells of this daemon, which owns the lead cell, have
// learned.
func (g *Group) shareOwnLearned() {
	for _, c := range append(g.others(), g.lead) {
		if c.term != nil {
			g.shareLearned(c.term.engine.TakeLearned(), c)
		}
	}
}

// tellLearned adds to a poll of the lead cell's owner what the cells of this daemon have
// learned. A new owner of the lead cell is told everything again.
func (g *Group) tellLearned(req *peerpb.FollowRequest) {
	again := g.learnedEpoch != g.lead.owner.Epoch
	g.learnedEpoch = g.lead.owner.Epoch
	for _, c := range g.others() {
		if c.term == nil {
			continue
		}
		if again {
			c.term.engine.TellAllLearned()
		}
		pairs := c.term.engine.TakeLearned()
		g.untold = append(g.untold, pairs...)
		g.importLearned(pairs, c)
	}
	req.Learned = encodePairs(g.untold)
}

// receiveLearned applies what other cells have learned, from the reply to a poll, which
// also shows that the pairs in the poll have arrived.
func (g *Group) receiveLearned(reply *peerpb.FollowReply) {
	g.untold = nil
	if reply.GetLearnedVersion() > 0 {
		g.learnedVersion = reply.GetLearnedVersion()
	}
	g.importLearned(decodePairs(reply.GetLearned()), nil)
}

func encodePairs(pairs []dispatch.LearnedPair) []*peerpb.LearnedPair {
	encoded := make([]*peerpb.LearnedPair, 0, len(pairs))
	for _, p := range pairs {
		e := &peerpb.LearnedPair{Service: p.Service, BestEffort: p.BestEffort}
		for _, permille := range p.Permille {
			e.Permille = append(e.Permille, uint32(max(0, permille)))
		}
		encoded = append(encoded, e)
	}
	return encoded
}

func decodePairs(pairs []*peerpb.LearnedPair) []dispatch.LearnedPair {
	decoded := make([]dispatch.LearnedPair, 0, len(pairs))
	for _, p := range pairs {
		d := dispatch.LearnedPair{Service: p.GetService(), BestEffort: p.GetBestEffort()}
		for _, permille := range p.GetPermille() {
			d.Permille = append(d.Permille, int(permille))
		}
		decoded = append(decoded, d)
	}
	return decoded
}
