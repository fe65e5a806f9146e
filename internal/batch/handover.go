package batch

import "time"

// Rate limits of handing shards over to a daemon that has joined.
const (
	handOverDelay    = 3 * time.Second // time for which another daemon must have been the candidate
	handOverInterval = time.Second     // between two shards released by one daemon
)

// Drain releases all shards. The daemon acquires no further shards.
func (m *Manager) Drain() {
	m.draining = true
	for _, name := range m.names() {
		m.owners[name].releasing = m.owners[name].owning()
	}
}

// handOver releases the shards whose candidate is another live daemon, one at a
// time.
func (m *Manager) handOver(now time.Time) {
	self := m.opts.Self().ID
	for _, name := range m.names() {
		o, other := m.owners[name], m.candidates[name]
		if !o.owning() || other == "" || other == self {
			delete(m.misplacedSince, name)
			continue
		}
		since, ok := m.misplacedSince[name]
		if !ok {
			m.misplacedSince[name] = now
			continue
		}
		if now.Sub(since) >= handOverDelay && now.Sub(m.lastHandOver) >= handOverInterval {
			m.lastHandOver = now
			o.releasing = true
		}
	}
}
