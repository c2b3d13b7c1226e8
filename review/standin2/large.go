package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// soundItems is how many small items a job may have; the job of the case has one more.
	soundItems = 131072
	// settle is settleMs: from then on an accepted job must not be answered with 404.
	settle = time.Second
)

// largeJob submits a job of many small items, and reads it back from all fronts. Without the
// trouble the job has one item less.
func largeJob(s *site, trouble bool) (broken bool, err error) {
	if err := s.prepare(route("r-app", "/pufi791/", "idempotent", application, 2000), route("r-step", "/pule252/", "rollout", engines, 10000)); err != nil {
		return false, err
	}
	count := soundItems
	if trouble {
		count++
	}
	requests := make([]object, count)
	for i := range requests {
		number := strconv.FormatInt(int64(i), 36)
		requests[i] = object{"id": "i" + number, "path": "/pule252/", "headers": object{}, "body": "", "tokenCount": 20, "group": "g" + strconv.FormatInt(int64(i/8), 36)}
	}
	const name = "7c41e09b52d6a3f8"
	body := object{"step": 1, "model": model, "minVersion": 1, "desired": count / 8, "requests": requests}
	encoded, err := json.Marshal(body)
	if err != nil {
		return false, err
	}
	s.record.say("a job of %d items, %d bytes; maxBodyBytes is 33554432", count, len(encoded))
	if !s.submit(name, "/pule252/", body, 20*time.Second) {
		return false, fmt.Errorf("the job was not accepted")
	}
	accepted := time.Now()
	time.Sleep(2 * settle)
	found, missing := 0, 0
	for range 6 {
		for _, m := range s.of("front") {
			status, answer, err := call(http.MethodGet, "http://"+m.at(m.public, s.ports.caller)+"/loomgrade/lots/"+name+"?sinceRevision=0", nil, nil, 3*time.Second)
			s.record.line("%.1f s after the 202: GET job %s from %s: status %d, error %v %s", time.Since(accepted).Seconds(), name, m.name, status, err, short(answer))
			switch status {
			case http.StatusOK:
				found++
			case http.StatusNotFound:
				missing++
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.record.say("reads later than %v after the 202: %d found the job, %d were answered 404; processes that ended: %v", settle, found, missing, s.ended())
	s.end(name)
	if found+missing == 0 {
		return false, fmt.Errorf("no read was answered")
	}
	return missing > 0, nil
}
