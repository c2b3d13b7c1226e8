package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Names on the wire.
const (
	headerID       = "X-Loomgrade-Attempt-Id"
	headerSeal     = "X-Loomgrade-Response-Seal"
	headerExpected = "X-Loomgrade-Expected-Instance"
	headerNotRun   = "X-Loomgrade-Not-Executed"
	headerVersions = "X-Loomgrade-Weight-Versions"
	headerWait     = "X-Loomgrade-Wait-Ms"
	headerInstance = "X-Loomgrade-Instance-Id"
	headerTokens   = "X-Loomgrade-Token-Usage"
	// headerWork tells a stand-in how long it works on a request.
	headerWork  = "X-Work"
	lastEvent   = "Last-Event-Id"
	host        = "ficu95.example"
	model       = "daka510000"
	engines     = "huvo11a"
	application = "wuno96b"
)

type object = map[string]any

// route returns a route of a configuration.
func route(name, prefix, kind, backend string, timeout int) object {
	r := object{
		"name": name, "hostname": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": 400,
		"priority": 1, "backend": backend, "maxAttempts": 3,
	}
	if kind == "rollout" {
		r["runAimMs"], r["keepS"] = 7500, 40
	}
	return r
}

// configuration returns a whole configuration.
func configuration(version int, routes ...object) object {
	return object{
		"version": version, "routes": routes,
		"services": []object{
			{"name": engines, "healthPath": "/healthz", "maxConns": 140, "protocol": "h1", "tls": false, "engine": object{"slots": slots, "kvTokens": 153581, "models": []object{{"name": model}}}},
			{"name": application, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// call makes one call on a fresh connection.
func call(method, url string, header http.Header, body any, timeout time.Duration) (status int, answer []byte, err error) {
	var encoded []byte
	if body != nil {
		if encoded, err = json.Marshal(body); err != nil {
			return 0, nil, err
		}
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// configure sends a configuration to the given control machines in turn until it is acknowledged.
func (s *site) configure(config object, to []*machine, limit time.Duration) bool {
	for deadline, i := time.Now().Add(limit), 0; time.Now().Before(deadline); i++ {
		m := to[i%len(to)]
		status, _, err := call(http.MethodPut, "http://"+m.at(m.public, s.ports.control)+"/loomgrade/config", nil, config, time.Second)
		s.record.line("operator: PUT config version %v to %s: status %d, error %v", config["version"], m.name, status, err)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// result is one listed result.
type result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Text     string   `json:"text"`
	Versions []uint64 `json:"versions"`
	Score    string   `json:"score"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"nextToken"`
	Results []result `json:"results"`
}

// job returns a step of groups of four items.
func job(name, prefix string, groups int) object { return jobOf(name, prefix, groups, 300) }

// jobOf returns a step whose prompts have a number of tokens.
func jobOf(name, prefix string, groups, prompt int) object {
	var requests []object
	for group := range groups {
		for item := range 4 {
			id := fmt.Sprintf("%s-%02d-%d", name, group, item)
			requests = append(requests, object{
				"id": id, "path": prefix + id, "tokenCount": prompt + 200, "group": fmt.Sprintf("%s-g%02d", name, group), "body": []byte("prompt of " + id),
				"headers": object{"X-Loomgrade-Model-Name": model, "X-Loomgrade-Token-Usage": fmt.Sprintf("%d,200", prompt), "X-Loomgrade-Length-Hint": "20", "X-Loomgrade-Prefix-Hash": fmt.Sprintf("%04x:%d,%04x:16", group+1, prompt-16, 4096+group*4+item)},
				"scorer":  object{"id": "s-" + id, "hostname": host, "path": "/pufi791/" + id, "body": []byte("text of " + id)},
			})
		}
	}
	return object{"step": 1, "model": model, "minVersion": 1, "desired": groups, "requests": requests}
}

// submit hands a job in as a trainer does: to the fronts in turn, until it gets a 202.
func (s *site) submit(name, prefix string, body object, limit time.Duration) bool {
	for deadline, i := time.Now().Add(limit), 0; time.Now().Before(deadline); i++ {
		m := s.of("front")[i%len(s.of("front"))]
		status, answer, err := call(http.MethodPost, "http://"+m.at(m.public, s.ports.caller)+prefix+name, http.Header{headerID: {name}}, body, 2*time.Second)
		s.record.line("trainer: POST job %s to %s: status %d, error %v %s", name, m.name, status, err, short(answer))
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func short(answer []byte) string { return fmt.Sprintf("%.120q", string(answer)) }

// follow reads a job's results about twice a second until all are listed or the time is up.
func (s *site) follow(name string, total int, limit time.Duration) (results []result) {
	for deadline, i := time.Now().Add(limit), 0; time.Now().Before(deadline); i++ {
		m := s.of("front")[i%len(s.of("front"))]
		url := fmt.Sprintf("http://%s/loomgrade/lots/%s?sinceRevision=%d", m.at(m.public, s.ports.caller), name, len(results))
		status, answer, err := call(http.MethodGet, url, nil, nil, 1500*time.Millisecond)
		var read page
		if status == http.StatusOK && json.Unmarshal(answer, &read) == nil {
			results = append(results, read.Results...)
			completed, errored := count(results)
			s.record.line("trainer: GET job %s from %s: %d of %d listed, %d completed, %d errored", name, m.name, len(results), read.Total, completed, errored)
		} else {
			s.record.line("trainer: GET job %s from %s: status %d, error %v", name, m.name, status, err)
		}
		if len(results) >= total {
			return results
		}
		time.Sleep(min(500*time.Millisecond, max(0, time.Until(deadline))))
	}
	return results
}

// end ends a job.
func (s *site) end(name string) {
	m := s.of("front")[0]
	status, _, err := call(http.MethodDelete, "http://"+m.at(m.public, s.ports.caller)+"/loomgrade/lots/"+name, nil, nil, 3*time.Second)
	s.record.line("trainer: DELETE job %s: status %d, error %v", name, status, err)
}

func count(results []result) (completed, errored int) {
	for _, r := range results {
		if r.State == "completed" {
			completed++
		} else {
			errored++
		}
	}
	return completed, errored
}
