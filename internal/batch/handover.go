package batch

import "time"

// Pace of handing shards over to a daemon that has joined.
const (
	handOverDelay    = 3 * time.Second // another daemon must be the candidate for so long
	handOverInterval = time.Second     // between two shards of one daemon
)

// Drain hands all shards over. The daemon takes no shard any more.
func (m *Manager) Drain() {
	m.draining = true
	for _, name := range m.names() {
		m.owners[name].releasing = m.owners[name].owning()
	}
}

// handOver releases shards that another live daemon should own, one at a time.
func (m *Manager) handOver(now time.Time) {
	self := m.opts.Self().ID
	for _, name := range m.names() {
		o, other := m.owners[name], m.candidates[name]
		if !o.owning() || other == "" || other == self {
			delete(m.otherSince, name)
			continue
		}
		since, ok := m.otherSince[name]
		if !ok {
			m.otherSince[name] = now
			continue
		}
		if now.Sub(since) >= handOverDelay && now.Sub(m.handedOver) >= handOverInterval {
			m.handedOver = now
			o.releasing = true
		}
	}
}
