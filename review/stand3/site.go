//go:build review3

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// site is a small deployment: the platform's store, runners, daemons and a client.
type site struct {
	rec     *record
	store   *store
	fleet   *fleet
	daemons []*daemon
	trouble bool
	dir     string
	client  *http.Client
	version int
}

// sameID is set in cases whose runners start again under their IDs.
var sameID bool

const (
	service = "desk"
	host    = "desk.example"
)

// route is a queue of the config.
func route(name string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": "/" + name + "/", "timeoutMs": 3000, "priority": 0,
		"targetLatencyMs": 1000, "service": service, "maxAttempts": 3, "stretchFactor": 2,
	}
}

// startSite starts runners and daemons, and waits until all daemons are ready.
func startSite(rec *record, binary, dir string, trouble bool, runners, daemons int, work func(string) time.Duration, routes ...string) (*site, error) {
	s := &site{rec: rec, store: newStore(), trouble: trouble, dir: dir, client: &http.Client{Timeout: 3 * time.Second}}
	s.fleet = newFleet(s.store, rec, service, work)
	s.fleet.stayID = sameID
	storeAddress, err := serve(s.store.handler())
	if err != nil {
		return nil, err
	}
	cloudAddress, err := serve(s.fleet.machines())
	if err != nil {
		return nil, err
	}
	s.config(routes...)
	for range runners {
		if _, err := s.fleet.add(); err != nil {
			return nil, err
		}
	}
	for n := range daemons {
		d, err := newDaemon(n, binary, dir, storeAddress, cloudAddress)
		if err != nil {
			return nil, err
		}
		s.daemons = append(s.daemons, d)
		if err := d.start(); err != nil {
			return nil, err
		}
	}
	if !waitFor(20*time.Second, s.allReady) {
		return nil, fmt.Errorf("the daemons are not ready: %s", strings.Join(s.grep("rror"), "\n"))
	}
	rec.add("%d daemons ready, %d runners", daemons, runners)
	time.Sleep(4 * time.Second) // contactMs
	return s, nil
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // ends with the process
	return l.Addr().String(), nil
}

// config writes the next version of the config with these routes.
func (s *site) config(routes ...string) {
	s.version += 3
	list := []map[string]any{}
	for _, name := range routes {
		list = append(list, route(name))
	}
	s.store.put("op", "config", map[string]any{
		"version": s.version, "routes": list,
		"services": []map[string]any{{"name": service, "enforcesCapacity": true}}, "limits": map[string]any{},
	})
	s.rec.add("operator: config %d with routes %s confirmed", s.version, strings.Join(routes, ", "))
}

func (s *site) allReady() bool {
	for _, d := range s.daemons {
		resp, err := s.client.Get("http://" + d.ready + "/v1/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

func (s *site) stop() {
	for _, d := range s.daemons {
		if d.cmd != nil {
			d.signal(syscall.SIGCONT)
			d.kill()
		}
	}
}

// killAll kills all daemons at the same moment, and starts them again after a time.
func (s *site) killAll(down time.Duration) error {
	for _, d := range s.daemons {
		d.signal(syscall.SIGKILL)
	}
	s.rec.add("all daemons killed")
	for _, d := range s.daemons {
		<-d.exited
	}
	time.Sleep(down)
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	s.rec.add("all daemons started")
	return nil
}

// call sends one request and returns the status and the body; status 0 means no answer.
func (s *site) call(n int, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.daemons[n%len(s.daemons)].frontend+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("X-Deadline-Ms", "3000")
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// do sends one request and records it.
func (s *site) do(n int, method, path, body string) (int, string) {
	status, text := s.call(n, method, path, body)
	s.rec.add("client: %s %s %s to %s: %d %s", method, path, body, s.daemons[n%len(s.daemons)].name, status, text)
	return status, text
}

// submit hands a job in, with retries at other nodes as a requester has them.
func (s *site) submit(queue, id, body string) bool {
	for n := range 5 {
		status, _ := s.do(n, http.MethodPost, "/"+queue+"/"+id, body)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// logs adds lines of the daemons' logs to the record.
func (s *site) logs(texts ...string) {
	for _, line := range s.grep(texts...) {
		s.rec.add("log of %s", line)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, d := range s.daemons {
			if body, err := os.ReadFile(d.log); err == nil {
				_ = os.WriteFile(keep+"/"+d.name+".log", body, 0o600)
			}
		}
	}
}
