package process

import (
	"testing"

	"github.com/matryer/is"
)

func TestGoMemoryLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(goMemoryLimit(284<<20), int64(213<<20))
	is.Equal(goMemoryLimit(160<<20), int64(120<<20))
	is.Equal(goMemoryLimit(96<<20), int64(56<<20))
	is.Equal(goMemoryLimit(40<<20), int64(10<<20))
}

func TestLimitsOfTheMachine(t *testing.T) {
	is := is.New(t)
	is.Equal(Memory(1<<20), int64(1<<20))
	is.True(Memory(0) >= 64<<20)
	is.Equal(Descriptors(100), 100)
	is.True(Descriptors(0) > 0)
}
