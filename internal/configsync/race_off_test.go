//go:build !race

package configsync_test

const raceEnabled = false
