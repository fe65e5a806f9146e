// Package version holds the version that the programs print.
package version

// String is the version of this source tree.
const String = "0.1.0"
