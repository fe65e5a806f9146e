package target

import "runtime"

// AwaitIdle returns once n connections to the target are idle and quiet.
func (c *Client) AwaitIdle(address string, n int) {
	p := c.pool(address)
	for {
		p.mu.Lock()
		quiet := 0
		for _, conn := range p.idle {
			if conn.conn.quiet() {
				quiet++
			}
		}
		p.mu.Unlock()
		if quiet >= n {
			return
		}
		runtime.Gosched()
	}
}

// Open returns the number of connections to the target.
func (c *Client) Open(address string) int {
	p := c.pool(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
