//go:build race

package batch

const raceDetector = true
