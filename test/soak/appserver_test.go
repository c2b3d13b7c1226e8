package soak

import (
	"net/http"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

const (
	// appWorkTime is the time of one request at an application replica that is not slow. It
	// keeps the rate that two replicas can run, 200 requests a second, low enough for bursts of
	// several times that rate beside other work on the machine.
	appWorkTime = 40 * time.Millisecond
	// appQueueLength makes a full queue wait for four times appWorkTime, which is below the
	// latency target of the routes.
	appQueueLength = 4 * sitestandin.Slots
)

// appServer gives the stand-in of an application replica a limited capacity: it runs
// sitestandin.Slots requests at a time, queues some, and refuses the others as not run.
type appServer struct {
	replica *sitestandin.Replica
	slots   chan struct{}

	mutex    sync.Mutex
	admitted int
	workTime time.Duration
	// refused counts the refusals by request.
	refused map[string]int
}

func newAppServer(replica *sitestandin.Replica) *appServer {
	a := &appServer{replica: replica, slots: make(chan struct{}, sitestandin.Slots), workTime: appWorkTime, refused: map[string]int{}}
	replica.Handle = a.handle
	return a
}

// setSlowness sets how many times longer than usual requests take.
func (a *appServer) setSlowness(factor int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.workTime = time.Duration(factor) * appWorkTime
}

func (a *appServer) handle(w http.ResponseWriter, r *http.Request) bool {
	if !a.admit(r.Header.Get(sitestandin.Headers.RequestID)) {
		w.Header().Set(sitestandin.Headers.NotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	defer a.leave()
	select {
	case a.slots <- struct{}{}:
	case <-r.Context().Done():
		return true
	}
	defer func() { <-a.slots }()
	a.mutex.Lock()
	workTime := a.workTime
	a.mutex.Unlock()
	time.Sleep(workTime)
	return false
}

func (a *appServer) admit(id string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.admitted == sitestandin.Slots+appQueueLength {
		a.refused[id]++
		return false
	}
	a.admitted++
	return true
}

func (a *appServer) leave() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.admitted--
}

// addRefusals adds the server's refusals by request.
func (a *appServer) addRefusals(sum map[string]int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for id, count := range a.refused {
		sum[id] += count
	}
}
