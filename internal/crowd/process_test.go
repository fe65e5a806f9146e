package crowd

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"os/exec" //nolint:depguard // these tests start the daemon as a process of its own
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", dir, "../../cmd/...")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "cannot build the programs: %v\n%s", err, output)
		return 1
	}
	binaries = dir
	return m.Run()
}

// limits are those of the machine that a process runs on.
type limits struct {
	memoryMB    int
	descriptors int
}

// process is a running program whose memory and descriptors are observed.
type process struct {
	t       *testing.T
	name    string
	ip      string
	limits  limits
	cmd     *exec.Cmd
	log     *os.File
	exited  chan struct{}
	exitErr error

	mu              sync.Mutex
	peakMemory      int64
	peakDescriptors int
}

// observeInterval is how often memory and descriptors are read. The kernel keeps the peak of the
// resident memory itself.
const observeInterval = 20 * time.Millisecond

// startProcess starts a program. It is killed at the end of the test.
func startProcess(t *testing.T, ip string, l limits, env []string, program string, args ...string) *process {
	t.Helper()
	logFile, err := os.Create(filepath.Join(t.TempDir(), program+".log"))
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + t.TempDir()}, env...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: program, ip: ip, limits: l, cmd: cmd, log: logFile, exited: make(chan struct{})}
	go func() {
		p.exitErr = cmd.Wait()
		close(p.exited)
	}()
	go p.observe()
	t.Cleanup(p.kill)
	return p
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
	_ = p.log.Close()
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, p.tail())
	}
}

// tail returns the end of the process's log.
func (p *process) tail() string {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	const most = 4 << 10
	return string(data[max(0, len(data)-most):])
}

// observe records the peaks until the process ends.
func (p *process) observe() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(observeInterval):
		}
		memory, descriptors := p.memory(), p.descriptors()
		p.mu.Lock()
		p.peakMemory, p.peakDescriptors = max(p.peakMemory, memory), max(p.peakDescriptors, descriptors)
		p.mu.Unlock()
	}
}

// memory returns the resident memory and the bytes that the sockets of the process have received
// and that it has not read yet. The platform counts both.
func (p *process) memory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var total, resident int64
	if _, err := fmt.Sscan(string(data), &total, &resident); err != nil {
		return 0
	}
	return resident*int64(os.Getpagesize()) + unreadBytes(p.ip)
}

// unreadBytes returns the received bytes that wait in the sockets of connections to ip.
func unreadBytes(ip string) int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	address := net.ParseIP(ip).To4()
	// The address is printed as a number in the byte order of a little-endian machine.
	local := strings.ToUpper(hex.EncodeToString([]byte{address[3], address[2], address[1], address[0]}))
	total := int64(0)
	for line := range bytes.Lines(data) {
		fields := strings.Fields(string(line))
		const established = "01"
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local+":") || fields[3] != established {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(received, 16, 64); err == nil {
			total += n
		}
	}
	return total
}

func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// check fails the test unless the process lives and has stayed within its limits.
func (p *process) check() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("%s has ended: %v\n%s", p.name, p.exitErr, p.tail())
	default:
	}
	memory, descriptors := p.peaks()
	p.t.Logf("%s: at most %d of %d MB, %d of %d descriptors", p.name, memory>>20, p.limits.memoryMB, descriptors, p.limits.descriptors)
	if memory > int64(p.limits.memoryMB)<<20 {
		p.t.Errorf("%s has used %d MB of memory, more than %d: the platform kills it", p.name, memory>>20, p.limits.memoryMB)
	}
	if descriptors > p.limits.descriptors {
		p.t.Errorf("%s has used %d descriptors, more than %d", p.name, descriptors, p.limits.descriptors)
	}
}

func (p *process) peaks() (memory int64, descriptors int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.peakMemory, p.peakResident()), p.peakDescriptors
}

// peakResident returns the peak of the resident memory in bytes that the kernel has recorded.
func (p *process) peakResident() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		var kb int64
		if _, err := fmt.Sscanf(string(line), "VmHWM: %d kB", &kb); err == nil {
			return kb << 10
		}
	}
	return 0
}

// firstPort is above the ports of the workers and targets in the example document.
const firstPort = 23000

// freePorts returns the first of n consecutive ports that are free on an IP address.
func freePorts(t *testing.T, ip string, n int) int {
	t.Helper()
	for base := firstPort + os.Getpid()%100*50; base < 32000; base += 50 {
		free := 0
		for ; free < n; free++ {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(base+free)))
			if err != nil {
				break
			}
			_ = l.Close()
		}
		if free == n {
			return base
		}
	}
	t.Fatalf("no %d consecutive free ports on %s", n, ip)
	return 0
}
