package target

import "runtime"

// AwaitIdle returns once n connections to the target are idle and reusable.
func (c *Client) AwaitIdle(address string, n int) {
	p := c.pool(address)
	for {
		p.mu.Lock()
		reusable := 0
		for _, conn := range p.idle {
			if conn.conn.reusable() {
				reusable++
			}
		}
		p.mu.Unlock()
		if reusable >= n {
			return
		}
		runtime.Gosched()
	}
}

// OpenConnections returns the number of connections to the target.
func (c *Client) OpenConnections(address string) int {
	p := c.pool(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
