package site_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/held"
	"github.com/loomgrade/loomgrade/test/sitestandin"
)

const (
	// slowReaders is how many callers send a request and read nothing of the answer.
	slowReaders = 2000
	// answerBytes is the length of an answer: all of them together are more than a front of
	// 184 MB has.
	answerBytes = 128 << 10
	// heldBytes is a quarter of such a front's memory, and heapBytes what its heap may take.
	heldBytes = 46 << 20
	heapBytes = 110 << 20
)

// TestSlowReadersAreBoundedInMemory: what a front holds for callers that do not read stays
// within its budget; others are served or refused at once meanwhile; whoever was answered
// gets the whole answer once it reads.
func TestSlowReadersAreBoundedInMemory(t *testing.T) {
	s := newSite(t, 3, 0)
	s.budget = held.NewBudget(heldBytes)
	s.start()
	s.configure()
	var replicas []*sitestandin.Replica
	content := strings.Repeat("x", answerBytes)
	for i := range 8 {
		replica := sitestandin.NewReplica(t, fmt.Sprint("i-", i), plain)
		replica.Behave = func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set(sitestandin.Headers.Signature, sitestandin.SealOf(r.Header.Get(sitestandin.Headers.RequestID)))
			w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
			_, _ = io.WriteString(w, content)
			return true
		}
		replicas = append(replicas, replica)
	}
	s.add(replicas...)
	address := strings.TrimPrefix(s.fronts[0].http.URL, "http://")
	before := heapNow()
	var group sync.WaitGroup
	connections := make([]net.Conn, slowReaders)
	gate := make(chan struct{}, 100)
	for i := range slowReaders {
		group.Go(func() {
			gate <- struct{}{}
			defer func() { <-gate }()
			connection, err := slowDialer.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			connections[i] = connection
			_, _ = fmt.Fprintf(connection, "POST /plain/x HTTP/1.1\r\nHost: %s\r\n%s: slow-%d\r\n%s: 20000\r\nContent-Length: 0\r\n\r\n",
				host, sitestandin.Headers.RequestID, i, sitestandin.Headers.Deadline)
		})
	}
	group.Wait()
	most, deadline := int64(0), time.Now().Add(2*time.Second)
	for time.Now().Before(deadline) {
		most = max(most, s.budget.Used())
		time.Sleep(5 * time.Millisecond)
	}
	if most > heldBytes {
		t.Errorf("%d bytes are held, the budget is %d", most, heldBytes)
	}
	if most < heldBytes/2 {
		t.Errorf("only %d bytes are held: the readers are not slow", most)
	}
	if grown := heapNow() - before; grown > heapBytes {
		t.Errorf("the heap has grown by %d bytes", grown)
	}
	if status, body, _ := s.call("/plain/x", "quick"); status != http.StatusOK && status != http.StatusServiceUnavailable || (status == http.StatusOK && len(body) != answerBytes) {
		t.Errorf("a caller that reads gets status %d and %d bytes", status, len(body))
	}
	for i, connection := range connections {
		group.Go(func() {
			if connection == nil {
				return
			}
			defer func() { _ = connection.Close() }()
			gate <- struct{}{}
			defer func() { <-gate }()
			_ = connection.SetReadDeadline(time.Now().Add(patience))
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				return
			}
			if read, err := io.ReadAll(response.Body); err == nil && len(read) != answerBytes {
				t.Errorf("reader %d: %d bytes look whole", i, len(read))
			}
		})
	}
	group.Wait()
	until(t, "nothing is held any more", func() bool { return s.budget.Used() == 0 })
}

// slowDialer makes connections whose kernel takes little of what is not read.
var slowDialer = net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
	const receiveBuffer = 4 << 10
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
}}

func heapNow() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
