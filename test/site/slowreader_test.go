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

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/test/sitestandin"
)

const (
	// slowReaderCount is how many callers send a request and don't read the response.
	slowReaderCount = 2000
	// answerBytes is the length of a response. All responses together exceed the memory of a
	// front of 184 MB.
	answerBytes = 128 << 10
	// budgetBytes is a quarter of that memory; maxHeapGrowth limits the growth of the heap.
	budgetBytes   = 46 << 20
	maxHeapGrowth = 110 << 20
)

// TestSlowReadersAreBoundedInMemory: memory used for callers that don't read stays within the
// front's budget. Other callers are served or rejected immediately, and slow callers get
// complete responses once they read.
func TestSlowReadersAreBoundedInMemory(t *testing.T) {
	s := newSite(t, 3, 0)
	s.budget = membudget.NewBudget(budgetBytes)
	s.start()
	s.configure()
	var replicas []*sitestandin.Replica
	content := strings.Repeat("x", answerBytes)
	for i := range 8 {
		replica := sitestandin.NewReplica(t, fmt.Sprint("i-", i), plain)
		replica.Handle = func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set(sitestandin.Headers.Signature, sitestandin.SignatureOf(r.Header.Get(sitestandin.Headers.RequestID)))
			w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
			_, _ = io.WriteString(w, content)
			return true
		}
		replicas = append(replicas, replica)
	}
	s.add(replicas...)
	address := strings.TrimPrefix(s.fronts[0].http.URL, "http://")
	before := heapAlloc()
	var group sync.WaitGroup
	connections := make([]net.Conn, slowReaderCount)
	slots := make(chan struct{}, 100)
	for i := range slowReaderCount {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			connection, err := smallBufferDialer.Dial("tcp", address)
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
	peak, deadline := int64(0), time.Now().Add(2*time.Second)
	for time.Now().Before(deadline) {
		peak = max(peak, s.budget.Used())
		time.Sleep(5 * time.Millisecond)
	}
	if peak > budgetBytes {
		t.Errorf("%d bytes are in use, the budget is %d", peak, budgetBytes)
	}
	if peak < budgetBytes/2 {
		t.Errorf("only %d bytes are in use: the readers are not slow", peak)
	}
	if grown := heapAlloc() - before; grown > maxHeapGrowth {
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
			slots <- struct{}{}
			defer func() { <-slots }()
			_ = connection.SetReadDeadline(time.Now().Add(waitTimeout))
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil || response.StatusCode != http.StatusOK {
				return
			}
			if read, err := io.ReadAll(response.Body); err == nil && len(read) != answerBytes {
				t.Errorf("reader %d: a response of %d bytes ended without an error", i, len(read))
			}
		})
	}
	group.Wait()
	waitUntil(t, "the budget is unused", func() bool { return s.budget.Used() == 0 })
}

// smallBufferDialer opens connections with small receive buffers, so that the kernel buffers
// little of what isn't read.
var smallBufferDialer = net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
	const receiveBuffer = 4 << 10
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
}}

func heapAlloc() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
