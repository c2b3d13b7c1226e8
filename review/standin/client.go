package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	status int
	seal   string
	body   []byte
	err    error
	sent   time.Time
	ended  time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return "no complete answer: " + a.err.Error()
	}
	if a.seal == "" {
		return fmt.Sprintf("status %d, %q", a.status, a.body)
	}
	return fmt.Sprintf("status %d, seal %q", a.status, a.seal)
}

// send sends one attempt on a new connection, as the clients of the pages do.
func send(url, id string, deadline time.Duration, body []byte) answer {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: false}, Timeout: deadline + 2*time.Second}
	defer client.CloseIdleConnections()
	result := answer{sent: time.Now()}
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	request.GetBody = nil
	request.Host = hostname
	request.Header.Set("X-Loomgrade-Attempt-Id", id)
	request.Header.Set("X-Loomgrade-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		result.err, result.ended = err, time.Now()
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.body, result.err = io.ReadAll(response.Body)
	result.status, result.seal, result.ended = response.StatusCode, response.Header.Get("X-Loomgrade-Response-Seal"), time.Now()
	return result
}
