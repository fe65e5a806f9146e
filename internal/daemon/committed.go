package daemon

import (
	"context"
	"time"

	"github.com/bambooyard/bambooyard/internal/peer"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/inventory"
)

// committed returns what tasks hold of each VM, by the owners of all shards
// that answer. It runs on any goroutine.
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
			c.log.WithField("event", "committed_unknown").WithField("peer", address).WithError(err).Warn("passed over")
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

// peerAddresses returns the addresses of the other live daemons. It runs on the
// control loop.
func (c *controller) peerAddresses(now time.Time) []string {
	self := c.keeper.Self().ID
	var addresses []string
	for _, s := range c.keeper.Live(now) {
		if s.ID != self {
			addresses = append(addresses, s.PeerAddress)
		}
	}
	return addresses
}

func (c *controller) handleCommitted(ctx context.Context) *peerpb.Response {
	var held map[string]inventory.Resources
	if err := c.loop.Do(ctx, func() { held = c.batch.Committed() }); err != nil {
		return peer.Refuse("%v", err)
	}
	reply := &peerpb.CommittedReply{}
	for vm, r := range held {
		reply.Vms = append(reply.Vms, &peerpb.Committed{
			Vm: vm, MilliProcessors: r.MilliProcessors, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators,
		})
	}
	return &peerpb.Response{Kind: &peerpb.Response_Committed{Committed: reply}}
}
