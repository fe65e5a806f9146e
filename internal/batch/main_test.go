package batch

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent trades memory for time: histories allocate much and retain little.
const gcPercent = 400

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
