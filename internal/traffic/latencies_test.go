package traffic

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLatenciesAreTakenOnceAndNeedAnswers(t *testing.T) {
	is := is.New(t)
	l := NewLatencies()
	busy, idle := ServiceVM{"stock-check", "w2"}, ServiceVM{"stock-check", "w1"}
	for i := range 100 {
		l.observe(busy, time.Duration(i+1)*time.Millisecond)
	}
	for range minLatencies - 1 {
		l.observe(idle, time.Second)
	}
	taken := l.Take()
	is.Equal(len(taken), 1)
	is.Equal(taken[0].ServiceVM, busy)
	is.True(taken[0].P99 >= 98*time.Millisecond && taken[0].P99 <= 101*time.Millisecond)
	is.Equal(len(l.Take()), 0)
}
