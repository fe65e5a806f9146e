package daemon

import (
	"context"
	"time"

	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/inventory"
)

// committed returns the resources that tasks hold on each VM, summed over this
// daemon and the peers that answer. It may be called on any goroutine.
func (c *controller) committed(ctx context.Context) (map[string]inventory.Resources, error) {
	var sum map[string]inventory.Resources
	var peers []string
	err := c.loop.Do(ctx, func() {
		sum = c.batch.Committed()
		peers = c.peerAddresses(time.Now())
	})
	if err != nil {
		return nil, err
	}
	req := &peerpb.Request{Kind: &peerpb.Request_Committed{Committed: &peerpb.CommittedRequest{}}}
	for _, address := range peers {
		resp, err := c.pool.Call(ctx, address, req)
		if err != nil {
			c.log.WithField("event", "committed_unknown").WithField("peer", address).WithError(err).Warn("committed resources of a peer are unknown and not counted")
			continue
		}
		for _, vm := range resp.GetCommitted().GetVms() {
			sum[vm.GetVm()] = sum[vm.GetVm()].Add(inventory.Resources{
				MilliProcessors: vm.GetMilliProcessors(), MemoryMB: vm.GetMemoryMb(), Accelerators: vm.GetAccelerators(),
			})
		}
	}
	return sum, nil
}

// peerAddresses returns the peer addresses of the other live daemons.
func (c *controller) peerAddresses(now time.Time) []string {
	self := c.sessions.Self().ID
	var addresses []string
	for _, s := range c.sessions.Live(now) {
		if s.ID != self {
			addresses = append(addresses, s.PeerAddress)
		}
	}
	return addresses
}

// handleCommitted answers a peer's request for the resources that tasks of this
// daemon's shards hold. It may be called on any goroutine.
func (c *controller) handleCommitted(ctx context.Context) *peerpb.Response {
	var committed map[string]inventory.Resources
	if err := c.loop.Do(ctx, func() { committed = c.batch.Committed() }); err != nil {
		return peer.Refuse("%v", err)
	}
	reply := &peerpb.CommittedReply{}
	for vm, r := range committed {
		reply.Vms = append(reply.Vms, &peerpb.Committed{
			Vm: vm, MilliProcessors: r.MilliProcessors, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators,
		})
	}
	return &peerpb.Response{Kind: &peerpb.Response_Committed{Committed: reply}}
}
