package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/bambooyard/bambooyard/cellmap"
	"github.com/bambooyard/bambooyard/internal/fake"
	"github.com/bambooyard/bambooyard/internal/peer/peerpb"
	"github.com/bambooyard/bambooyard/job"
	"github.com/bambooyard/bambooyard/platform"
)

// oddWorkerEntries are entries of other writers, of the kinds that operators have reported.
func oddWorkerEntries() []string {
	entry := func(address, cpu, label, rest string) string {
		return fmt.Sprintf(`{"service":"desk","address":"%s","zone":"a","state":"ready","coldRemainingMs":0,"capacity":{"cpu":%s,"memMb":64000,"gpu":0},"labels":["%s","r"],"born":1765000000000%s}`, address, cpu, label, rest)
	}
	const address, cpu = "10.0.0.9:80", "16000"
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	return []string{
		entry(address, cpu, "k", `,"other":`+nested), entry(address, nested, "k", ""), strings.Repeat(`{"labels":[`, 20_000),
		entry(address, "9223372036854775807", "k", ""), entry(address, "-16000", "k", ""), entry(address, cpu, "k", `,"remainingMs":1e308`),
		entry(address, cpu, "k", `,"born":9223372036854775807`),
		entry("10.0.0.9:70000", cpu, "k", ""), entry("10.0.0.9:0", cpu, "k", ""), entry("0.0.0.0:80", cpu, "k", ""),
		entry(address, cpu, "\xff", ""), entry(address, cpu, "\xed\xa0\x80", ""), entry(address, cpu, strings.Repeat("k", 5<<20), ""),
		entry(address, cpu, "k", "\xff"), "", "null", "[]", "\x00",
	}
}

// Guards against daemons that stop following the list of workers: one odd entry made the list
// that the owner of the lead cell passes on impossible to encode, or the capacity of the cell
// negative.
func TestOddEntriesDoNotReachOtherDaemons(t *testing.T) {
	is := is.New(t)
	rows := fake.NewRowStore()
	for i := range 3 {
		rows.Put("servers", "", fmt.Sprintf("i-%d", i), fmt.Appendf(nil, `{"service":"desk","address":"10.0.0.%d:80","zone":"a","state":"ready","capacity":{"cpu":16000,"memMb":64000},"labels":["k","r"]}`, i+1))
	}
	for i, value := range oddWorkerEntries() {
		rows.Put("servers", "", fmt.Sprintf("i-0-odd-%d", i), []byte(value))
	}
	list, err := platform.NewDirectory(rows, &log.Logger{Handler: memory.New()}).List(t.Context())
	is.NoErr(err)

	now := time.Unix(1000, 0)
	owner, follower := NewGroup(GroupOptions{}), NewGroup(GroupOptions{})
	owner.lead.term = &term{epoch: 2}
	owner.cellMap = &cellmap.Map{Cells: make([]cellmap.Cell, 2), Racks: map[string]int{"r": 1}}
	owner.setWorkers(list, now)
	reply := &peerpb.FollowReply{}
	owner.tellWorkers(&peerpb.FollowRequest{Epoch: 2, Workers: []*peerpb.WorkersVersion{{Cell: 1}}}, reply, now)
	encoded, err := proto.Marshal(reply)
	is.NoErr(err)
	received := &peerpb.FollowReply{}
	is.NoErr(proto.Unmarshal(encoded, received))
	follower.receiveWorkers(received.GetWorkers()[0], 2, now)

	is.Equal(follower.workersOf(1), list)
	is.Equal(len(list), 3)
	var sum job.Resources
	for _, w := range list {
		sum = sum.Add(w.Capacity)
	}
	is.Equal(sum, job.Resources{MilliCPU: 48000, MemoryMB: 192000})
}
