package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// line writes one line to the record.
func (r *record) line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, arguments ...any) {
	r.line(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}
