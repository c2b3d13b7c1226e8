package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since its creation.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// since returns the time since the start of the record in milliseconds.
func (r *record) since(at time.Time) float64 { return float64(at.Sub(r.start).Microseconds()) / 1000 }

func (r *record) at(at time.Time, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%10.1f ms  %s\n", r.since(at), fmt.Sprintf(format, arguments...))
}

func (r *record) add(format string, arguments ...any) { r.at(time.Now(), format, arguments...) }
