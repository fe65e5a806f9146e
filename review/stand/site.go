package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds of the installation, as in the settings of a small one.
const (
	holdMaxMS       = 6000
	configApply     = 3 * time.Second
	finish          = 14 * time.Second
	requesterBudget = 3 * time.Second
	memoryMB        = 284
	host            = "desk.example"
)

// site is an installation: stand-ins for the platform in this process, and daemons.
type site struct {
	rec     *record
	dir     string
	root    string
	store   *store
	fleet   *fleet
	routes  []map[string]any
	version int
	nodes   []*node
	client  *http.Client
	// cpuShare is the share of a core that each daemon has.
	cpuShare float64
}

// node is a machine that runs a daemon.
type node struct {
	name, front, ready string
	settings           string
	cmd                *exec.Cmd
	exited             chan struct{}
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newSite(rec *record, root string) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, root: root, store: newStore(rec), client: &http.Client{Timeout: requesterBudget}, cpuShare: 0.4}
	s.fleet = newFleet(rec, s.store, "huvo11a")
	return s, nil
}

func serveAt(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// route adds a queue to the next config.
func (s *site) route(name string, priority, maxAttempts int) {
	s.routes = append(s.routes, map[string]any{
		"name": "r-" + name, "host": host, "pathPrefix": "/" + name + "/", "type": "non_idempotent", "timeoutMs": 3000,
		"targetLatencyMs": 1000, "priority": priority, "service": s.fleet.service, "maxAttempts": maxAttempts, "stretchFactor": 2.0,
	})
}

// dropRoute removes a queue from the next config.
func (s *site) dropRoute(name string) {
	kept := s.routes[:0:0]
	for _, r := range s.routes {
		if r["name"] != "r-"+name {
			kept = append(kept, r)
		}
	}
	s.routes = kept
}

// configure writes the config, as the operator does.
func (s *site) configure() {
	s.version += 3
	s.store.put("op", "", "config", map[string]any{
		"version": s.version, "routes": s.routes,
		"services": []map[string]any{{"name": s.fleet.service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	names := []string{}
	for _, r := range s.routes {
		names = append(names, r["name"].(string))
	}
	s.rec.logf("operator: config version %d is confirmed, routes %s", s.version, strings.Join(names, " "))
}

const settingsFormat = `nodeName = %q
role = "daemon"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = "a"
region = "r"
portRange = [%d,%d]
seeds = []
bootstrap = true
heartbeatMs = 1100
controlMode = "invoke"
[zones]
a = "r"
[listenAddrs]
frontend = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = %g
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 4000
ackMs = 5000
drainMs = 3000
graceS = 6
configApplyMs = 3000
holdMaxMs = %d
stopTimeoutMs = 200
status_s = 120
impactMs = 4000
[platform]
address = %q
form = "table"
rowBytes = %d
[cloudApi]
address = %q
`

// startNodes starts daemons and waits until they are ready.
func (s *site) startNodes(n int) error {
	storeAddress, err := serveAt(s.store.handler())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", s.fleet.machines)
	cloud, err := serveAt(mux)
	if err != nil {
		return err
	}
	network := os.Getpid()
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 16+(network>>8)%128, network%256, 11+i)
		base, err := freeRange(ip)
		if err != nil {
			return err
		}
		nd := &node{name: fmt.Sprintf("edge-a-%d", i+1), settings: filepath.Join(s.dir, fmt.Sprintf("edge-a-%d.toml", i+1))}
		nd.front, nd.ready = fmt.Sprintf("%s:%d", ip, base+16), fmt.Sprintf("%s:%d", ip, base+17)
		text := fmt.Sprintf(settingsFormat, nd.name, ip, base, base+15, ip, base+16, ip, base+17, ip, base+18, s.cpuShare, memoryMB, holdMaxMS, storeAddress, rowBytes, cloud)
		if err := os.WriteFile(nd.settings, []byte(text), 0o600); err != nil {
			return err
		}
		s.nodes = append(s.nodes, nd)
		if err := s.start(nd); err != nil {
			return err
		}
	}
	for _, nd := range s.nodes {
		if !waitFor(15*time.Second, func() bool { return s.isReady(nd) }) {
			return fmt.Errorf("%s is not ready", nd.name)
		}
	}
	s.rec.logf("%d daemons are ready", n)
	return nil
}

// freeRange returns the first of 20 ports that are free at an address.
func freeRange(ip string) (int, error) {
	for base := 21000; base < 31000; base += 20 {
		free := true
		for p := base; p < base+20 && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

// start runs the command of the deploy file.
func (s *site) start(nd *node) error {
	out, err := os.OpenFile(filepath.Join(s.dir, nd.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(s.root, "target/bambooyardd"))
	cmd.Dir, cmd.Stdout, cmd.Stderr = s.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "BAMBOOYARD_NODE_FILE=" + nd.settings, "METRICS_PORT=9464"}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	nd.cmd, nd.exited = cmd, exited
	go func() { _ = cmd.Wait(); close(exited) }()
	s.rec.logf("%s is started as process %d", nd.name, cmd.Process.Pid)
	return nil
}

func (s *site) signal(nd *node, sig syscall.Signal) {
	s.rec.logf("%s gets %v", nd.name, sig)
	_ = nd.cmd.Process.Signal(sig)
}

// close ends all processes.
func (s *site) close() {
	for _, nd := range s.nodes {
		if nd.cmd != nil {
			_ = nd.cmd.Process.Kill()
			<-nd.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

func (s *site) isReady(nd *node) bool {
	resp, err := s.client.Get("http://" + nd.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// owner returns the node that wrote to the store under a condition last, which is the one
// that holds the row of the lead cell.
func (s *site) owner() *node {
	var row struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(s.store.get("owners", "c0", "owner"), &row); err != nil {
		return nil
	}
	for _, nd := range s.nodes {
		if nd.name == row.Name {
			return nd
		}
	}
	return nil
}

func waitFor(d time.Duration, done func() bool) bool {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}

// call sends a requester's request to a node.
func (s *site) call(nd *node, method, path string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), requesterBudget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+nd.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, "no answer"
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// schedule repeats the steps of a job.
type schedule struct{ times, intervalMS int }

// submit hands a job in, with four retries at other nodes.
func (s *site) submit(queue, id string, steps []step, sch schedule) bool {
	j := &submitted{spec: "spec of " + id, steps: steps, times: sch.times}
	s.fleet.mu.Lock()
	s.fleet.jobs[id] = j
	s.fleet.mu.Unlock()
	job := map[string]any{"spec": j.spec, "steps": steps}
	if sch.times > 0 {
		job["repeatCount"], job["intervalMs"], job["startAtMs"] = sch.times, sch.intervalMS, time.Now().UnixMilli()
	}
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	for attempt := range 5 {
		nd := s.nodes[(int(id[len(id)-1])+attempt)%len(s.nodes)]
		status, answer := s.call(nd, http.MethodPost, "/"+queue+"/"+id, body)
		s.rec.logf("requester: POST %s to queue %s at %s, %d tasks -> %d %s", id, queue, nd.name, j.tasks(), status, answer)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job at each node in turn, until one answers.
func (s *site) state(queue, id string) string {
	last := ""
	for _, nd := range s.nodes {
		status, answer := s.call(nd, http.MethodGet, "/"+queue+"/"+id, nil)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(answer), &body) == nil {
			return body.State
		}
		last = fmt.Sprintf("%d %s", status, answer)
	}
	return last
}
