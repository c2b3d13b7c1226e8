// Command standin plays the cases of the review that can't be put as a day of the bench: it
// starts the project's programs as separate processes, and stands in for clients, replicas,
// operators and the platform. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// playLimit ends a play that takes too long.
const playLimit = 110 * time.Second

// cases maps the number of a case to its play. A play reports whether the rule was broken.
var cases = map[string]func(s *site, trouble bool) (broken bool, err error){
	"stop":  playStop,
	"twice": playTwice,
}

func main() {
	// The kernel ends the started processes when the thread that started them ends.
	runtime.LockOSThread()
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	written, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fronts := 1
	s, err := newSite(written, fronts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
		select {
		case received := <-signals:
			written.add("ended by %v", received)
		case <-time.After(playLimit):
			written.add("ended after %v", playLimit)
		}
		s.close()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		written.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		written.add("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	written.add("result: the rule held")
	fmt.Println("the rule held")
	return 0
}
