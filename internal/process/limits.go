package process

import (
	"runtime/debug"

	"golang.org/x/sys/unix"
)

const (
	// memoryShare is the greatest share of the memory of the process that is set as the Go memory limit,
	// above which the garbage collector runs more often.
	memoryShare = 0.75
	// outsideBytes is what the Go memory limit leaves at least to what it does not count: the program
	// itself, the C library and the bytes that sockets have received.
	outsideBytes = 40 << 20
	// minMemoryShare is the least share.
	minMemoryShare = 0.25
)

// LimitMemory sets the Go memory limit of a process that may use an amount of memory in bytes; zero
// means no limit.
func LimitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(goMemoryLimit(bytes))
	}
}

func goMemoryLimit(bytes int64) int64 {
	limit := min(int64(memoryShare*float64(bytes)), bytes-outsideBytes)
	return max(limit, int64(minMemoryShare*float64(bytes)))
}

// Assumed where the machine does not tell its limits.
const (
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 1024
)

// Memory returns the memory of the process in bytes: limit, or that of the machine if limit is zero.
func Memory(limit int64) int64 {
	if limit > 0 {
		return limit
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return defaultMemoryBytes
	}
	return int64(info.Totalram) * int64(info.Unit) //nolint:unconvert // the types differ between machines
}

// Descriptors returns the number of file descriptors that the process may have open: limit, or the
// limit of the operating system if limit is zero.
func Descriptors(limit int) int {
	if limit > 0 {
		return limit
	}
	var rlimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &rlimit); err != nil {
		return defaultDescriptors
	}
	const most = 1 << 20 // more are not used, and a limit may be infinite
	return int(min(rlimit.Cur, most))
}
