package traffic

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLatenciesAreTakenOnceAndNeedEnoughSamples(t *testing.T) {
	is := is.New(t)
	l := NewLatencies()
	busy, idle := ServiceVM{"stock-check", "w2"}, ServiceVM{"stock-check", "w1"}
	for i := range 100 {
		l.observe(busy, time.Duration(i+1)*time.Millisecond)
	}
	for range minSamples - 1 {
		l.observe(idle, time.Second)
	}
	list := l.Take()
	is.Equal(len(list), 1)
	is.Equal(list[0].ServiceVM, busy)
	is.True(list[0].P99 >= 98*time.Millisecond && list[0].P99 <= 101*time.Millisecond)
	is.Equal(len(l.Take()), 0)
}
