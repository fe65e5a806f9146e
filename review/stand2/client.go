package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// answer is what a caller got: status 0 means no answer.
type answer struct {
	status int
	body   map[string]any
}

func (a answer) state() string {
	s, _ := a.body["state"].(string)
	return s
}

// call sends a caller's request to a daemon. The caller leaves after patience.
func (d *daemon) call(method, id string, body any, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.front()+prefix+id, reader)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		d.y.log("caller: %s %s at %s: no answer (%v)", method, id, d.name(), ctx.Err())
		return answer{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		d.y.log("caller: %s %s at %s: the answer broke off", method, id, d.name())
		return answer{}
	}
	a := answer{status: resp.StatusCode}
	_ = json.Unmarshal(data, &a.body)
	d.y.log("caller: %s %s at %s: %d %s", method, id, d.name(), resp.StatusCode, data)
	return a
}

// submit sends a job until it is accepted, as a requester does.
func (y *yard) submit(id string, body any) bool {
	for i := range 10 {
		a := y.daemons[i%len(y.daemons)].call(http.MethodPost, id, body, 3*time.Second)
		if a.status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
