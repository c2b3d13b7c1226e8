package wire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

func TestDeadlineReachesHandler(t *testing.T) {
	_, address := startServer(t, testOptions(), func(s *Server) {
		s.Handle("wait", func(ctx context.Context, call *Call) error {
			if _, ok := ctx.Deadline(); !ok {
				return port.NewError(port.NotRun, "no_deadline", "no deadline arrived")
			}
			return call.Send(echo{Text: "has deadline"})
		})
	})
	client := startClient(t, address, testOptions())
	if err := client.Call(testContext(t), "wait", echo{}, nil); err != nil {
		t.Fatal(err)
	}
	if err := client.Call(context.Background(), "wait", echo{}, nil); CodeOf(err) != "no_deadline" {
		t.Fatalf("without deadline: %v", err)
	}
}

// A stream with a full window must not block other calls.
func TestSlowStreamDoesNotBlockOthers(t *testing.T) {
	const count, size = 100, 1000
	options := testOptions()
	options.Window = 4000
	_, address := startServer(t, options, func(s *Server) {
		s.Handle("flood", func(_ context.Context, call *Call) error {
			for range count {
				if err := call.Send(echo{Text: string(bytes.Repeat([]byte("x"), size))}); err != nil {
					return err
				}
			}
			return nil
		})
		s.Handle("echo", func(_ context.Context, call *Call) error { return call.Send(echo{Text: "quick"}) })
	})
	client := startClient(t, address, options)
	slow, err := client.Stream(testContext(t), "flood", echo{})
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	for range 20 {
		var answer echo
		if err := client.Call(testContext(t), "echo", echo{}, &answer); err != nil {
			t.Fatal(err)
		}
	}
	if in := client.Totals().BytesIn; in > 4*uint64(options.Window) {
		t.Fatalf("%d bytes arrived for a window of %d", in, options.Window)
	}
	received := 0
	for {
		var message echo
		if err := slow.Recv(&message); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		received++
	}
	if received != count {
		t.Fatalf("%d of %d messages", received, count)
	}
}

func TestEachCallGetsItsOwnAnswer(t *testing.T) {
	_, address := startServer(t, testOptions(), func(s *Server) {
		s.Handle("echo", func(_ context.Context, call *Call) error {
			var request echo
			if err := call.Decode(&request); err != nil {
				return err
			}
			return call.Send(request)
		})
	})
	client := startClient(t, address, testOptions())
	var group sync.WaitGroup
	for worker := range 16 {
		group.Go(func() {
			for round := range 50 {
				want := fmt.Sprintf("%d-%d", worker, round)
				var answer echo
				if err := client.Call(testContext(t), "echo", echo{Text: want}, &answer); err != nil || answer.Text != want {
					t.Errorf("got %q for %q: %v", answer.Text, want, err)
					return
				}
			}
		})
	}
	group.Wait()
}

func TestCancelReachesTheHandler(t *testing.T) {
	canceled := make(chan struct{})
	_, address := startServer(t, testOptions(), func(s *Server) {
		s.Handle("hang", func(ctx context.Context, call *Call) error {
			_ = call.Send(echo{})
			<-ctx.Done()
			close(canceled)
			return ctx.Err()
		})
	})
	stream, err := startClient(t, address, testOptions()).Stream(testContext(t), "hang", echo{})
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Recv(&echo{}); err != nil {
		t.Fatal(err)
	}
	stream.Close()
	select {
	case <-canceled:
	case <-time.After(testTimeout):
		t.Fatal("the handler was not canceled")
	}
}

func TestOneWayMessagesKeepTheirOrder(t *testing.T) {
	const count = 200
	received := make(chan string, count)
	_, address := startServer(t, testOptions(), func(s *Server) {
		s.Handle("echo", func(context.Context, *Call) error { return nil })
		s.HandleMessage("note", func(_ context.Context, call *Call) {
			var message echo
			if call.Decode(&message) == nil {
				received <- call.Peer + message.Text
			}
		})
	})
	client := startClient(t, address, testOptions())
	if err := client.Send(testContext(t), "note", echo{}); VerdictOf(err) != port.NotRun {
		t.Fatalf("unconnected send: %v", err)
	}
	if err := client.Call(testContext(t), "echo", echo{}, nil); err != nil {
		t.Fatal(err)
	}
	for index := range count {
		if err := client.Send(testContext(t), "note", echo{Text: fmt.Sprint(index)}); err != nil {
			t.Fatal(err)
		}
	}
	for index := range count {
		select {
		case text := <-received:
			if text != "tester"+fmt.Sprint(index) {
				t.Fatalf("message %d is %q", index, text)
			}
		case <-time.After(testTimeout):
			t.Fatalf("message %d did not arrive", index)
		}
	}
}

// Shutdown waits for calls in flight and rejects new ones.
func TestShutdownFinishesCallsInFlight(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	server, address := startServer(t, testOptions(), func(s *Server) {
		s.Handle("slow", func(_ context.Context, call *Call) error {
			close(started)
			<-release
			return call.Send(echo{Text: "finished"})
		})
	})
	client := startClient(t, address, testOptions())
	result := make(chan error, 1)
	go func() {
		var answer echo
		result <- client.Call(testContext(t), "slow", echo{}, &answer)
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		server.Shutdown(testContext(t))
		close(stopped)
	}()
	for draining := false; !draining; time.Sleep(time.Millisecond) {
		server.mutex.Lock()
		draining = server.draining
		server.mutex.Unlock()
	}
	err := client.Call(testContext(t), "slow", echo{}, nil)
	if VerdictOf(err) != port.NotRun || CodeOf(err) != port.CodeUnavailable {
		t.Fatalf("call during shutdown: %v", err)
	}
	close(release)
	if err := <-result; err != nil {
		t.Fatalf("the call in flight failed: %v", err)
	}
	<-stopped
}

func TestReconnectsAfterServerRestart(t *testing.T) {
	register := func(s *Server) {
		s.Handle("echo", func(_ context.Context, call *Call) error { return call.Send(echo{}) })
	}
	first, firstAddress := startServer(t, testOptions(), register)
	var address atomic.Pointer[string]
	address.Store(&firstAddress)
	options := testOptions()
	options.Dial = func(_ string, timeout time.Duration) (net.Conn, error) {
		return dialTCP(*address.Load(), timeout)
	}
	options.BackoffBase, options.BackoffMax = time.Millisecond, 2*time.Millisecond
	client := startClient(t, firstAddress, options)
	if err := client.Call(testContext(t), "echo", echo{}, nil); err != nil {
		t.Fatal(err)
	}
	first.Close()
	if err := client.Call(testContext(t), "echo", echo{}, nil); err == nil {
		t.Fatal("a call succeeded without a server")
	}
	_, secondAddress := startServer(t, testOptions(), register)
	address.Store(&secondAddress)
	ctx := testContext(t)
	for client.Call(ctx, "echo", echo{}, nil) != nil {
		if ctx.Err() != nil {
			t.Fatal("never reconnected")
		}
		time.Sleep(time.Millisecond)
	}
}

func FuzzDecodeFrame(f *testing.F) {
	for _, frame := range []Frame{
		{Epoch: 1, Stream: 2, Kind: KindCall, Method: "echo", Body: []byte{1}},
		{Kind: KindEnd, Sequence: 3},
	} {
		item, err := encodeFrame(&frame, DefaultMaxFrameSize)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(item)
	}
	f.Add([]byte{byteStringHead, 0, 0, 0, 1, 0x80})
	const limit = 1 << 16
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, size, err := readFrame(bytes.NewReader(data), limit)
		if err != nil {
			return
		}
		if size > limit+frameHeaderSize || frame.Kind == 0 || frame.Kind > lastKind {
			t.Fatalf("accepted frame %+v of %d bytes", frame, size)
		}
		again, err := encodeFrame(frame, limit)
		if err != nil {
			t.Fatal(err)
		}
		second, _, err := readFrame(bytes.NewReader(again), limit)
		if err != nil || second.Stream != frame.Stream || !bytes.Equal(second.Body, frame.Body) {
			t.Fatalf("%+v became %+v: %v", frame, second, err)
		}
	})
}
