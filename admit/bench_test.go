package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooyard/bambooyard/admit"
)

// BenchmarkAdmit measures Admit under overload with 6 and with 400 members. Every
// request is refused or ends 50 ms later.
func BenchmarkAdmit(b *testing.B) {
	for _, members := range []int{6, 400} {
		b.Run(fmt.Sprint(members, " members"), func(b *testing.B) {
			names := make([]string, members)
			for i := range names {
				names[i] = fmt.Sprint("member-", i)
			}
			c := admit.NewController(admit.Capacity{Share: 65, Slots: 520})
			now := time.Unix(0, 0)
			var inFlight []string
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(150 * time.Microsecond)
				m := names[i%members]
				if c.Admit(now, admit.Request{Member: m, Weight: 1, Deadline: now.Add(time.Second)}).Admitted {
					inFlight = append(inFlight, m)
				}
				if i%5 == 0 && len(inFlight) > 0 {
					c.Release(inFlight[0])
					c.Observe(now, 50*time.Millisecond)
					inFlight = inFlight[1:]
				}
			}
		})
	}
}
