package wire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

const testTimeout = 5 * time.Second

type echo struct {
	Text string `cbor:"1,keyasint"`
}

func testOptions() Options {
	return Options{ClusterID: "test", Token: "secret", Name: "tester"}
}

// startServer serves on a free loopback port and returns its address.
func startServer(t *testing.T, options Options, register func(*Server)) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(options)
	register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return server, listener.Addr().String()
}

func startClient(t *testing.T, address string, options Options) *Client {
	t.Helper()
	client := NewClient(address, options)
	t.Cleanup(client.Close)
	return client
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// scriptedPeer accepts one connection and sends the frames of a test's script.
type scriptedPeer struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

const scriptedEpoch = 77

func startScriptedPeer(t *testing.T, script func(*scriptedPeer)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		peer := &scriptedPeer{t: t, conn: conn, reader: bufio.NewReader(conn)}
		peer.read(KindHello)
		body, _ := Marshal(welcome{Version: ProtocolVersion})
		peer.write(Frame{Epoch: scriptedEpoch, Kind: KindWelcome, Body: body})
		script(peer)
	}()
	return listener.Addr().String()
}

// read returns the next frame of the kind and skips others.
func (p *scriptedPeer) read(kind Kind) *Frame {
	for {
		frame, _, err := readFrame(p.reader, DefaultMaxFrameSize)
		if err != nil {
			return &Frame{}
		}
		if frame.Kind == kind {
			return frame
		}
	}
}

func (p *scriptedPeer) write(frame Frame) {
	item, err := encodeFrame(&frame, DefaultMaxFrameSize)
	if err != nil {
		p.t.Error(err)
		return
	}
	_, _ = p.conn.Write(item)
}

func (p *scriptedPeer) data(stream uint64, sequence uint32, text string) {
	body, _ := Marshal(echo{Text: text})
	p.write(Frame{Epoch: scriptedEpoch, Stream: stream, Kind: KindData, Sequence: sequence, Body: body})
}

func (p *scriptedPeer) end(stream uint64, count uint32) {
	p.write(Frame{Epoch: scriptedEpoch, Stream: stream, Kind: KindEnd, Sequence: count})
}

// waitClosed blocks until the client closes the connection.
func (p *scriptedPeer) waitClosed() { _, _ = io.Copy(io.Discard, p.reader) }

// TestContractOfACall runs one call against each kind of peer fault.
func TestCallPeerFaults(t *testing.T) {
	cases := []struct {
		name    string
		script  func(*scriptedPeer)
		verdict port.Verdict
		code    port.Code
		answer  string
	}{
		{name: "complete answer", answer: "one", script: func(p *scriptedPeer) {
			id := p.read(KindCall).Stream
			p.data(id, 0, "one")
			p.end(id, 1)
			p.waitClosed()
		}},
		{name: "cut off before the first byte", verdict: port.MayHaveRun, code: port.CodeUnavailable, script: func(p *scriptedPeer) {
			p.read(KindCall)
		}},
		{name: "cut off inside a frame", verdict: port.MayHaveRun, code: port.CodeUnavailable, script: func(p *scriptedPeer) {
			p.read(KindCall)
			_, _ = p.conn.Write([]byte{byteStringHead, 0, 0, 0, 50, 1, 2, 3})
		}},
		{name: "cut off after the data, before the end", verdict: port.MayHaveRun, code: port.CodeUnavailable, script: func(p *scriptedPeer) {
			p.data(p.read(KindCall).Stream, 0, "one")
		}},
		{name: "duplicate answer", verdict: port.MayHaveRun, code: CodeProtocol, script: func(p *scriptedPeer) {
			id := p.read(KindCall).Stream
			p.data(id, 0, "one")
			p.data(id, 0, "one")
			p.end(id, 1)
			p.waitClosed()
		}},
		{name: "second answer", verdict: port.MayHaveRun, code: CodeProtocol, script: func(p *scriptedPeer) {
			id := p.read(KindCall).Stream
			p.data(id, 0, "one")
			p.data(id, 1, "two")
			p.end(id, 2)
			p.waitClosed()
		}},
		{name: "answers out of order", verdict: port.MayHaveRun, code: CodeProtocol, script: func(p *scriptedPeer) {
			p.data(p.read(KindCall).Stream, 1, "two")
			p.waitClosed()
		}},
		{name: "end with a wrong answer count", verdict: port.MayHaveRun, code: CodeProtocol, script: func(p *scriptedPeer) {
			p.end(p.read(KindCall).Stream, 1)
			p.waitClosed()
		}},
		{name: "end without an answer", verdict: port.MayHaveRun, code: CodeProtocol, script: func(p *scriptedPeer) {
			p.end(p.read(KindCall).Stream, 0)
			p.waitClosed()
		}},
		{name: "oversize frame", verdict: port.MayHaveRun, code: port.CodeUnavailable, script: func(p *scriptedPeer) {
			p.read(KindCall)
			_, _ = p.conn.Write([]byte{byteStringHead, 0xff, 0xff, 0xff, 0xff})
			p.waitClosed()
		}},
		{name: "content of another type", verdict: port.MayHaveRun, code: CodeProtocol, script: func(p *scriptedPeer) {
			id := p.read(KindCall).Stream
			body, _ := Marshal([]int{1, 2})
			p.write(Frame{Epoch: scriptedEpoch, Stream: id, Kind: KindData, Body: body})
			p.end(id, 1)
			p.waitClosed()
		}},
		{name: "malformed frame", verdict: port.MayHaveRun, code: port.CodeUnavailable, script: func(p *scriptedPeer) {
			p.read(KindCall)
			_, _ = p.conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
			p.waitClosed()
		}},
		{name: "answer of another epoch", verdict: port.MayHaveRun, code: port.CodeUnavailable, script: func(p *scriptedPeer) {
			id := p.read(KindCall).Stream
			p.write(Frame{Epoch: scriptedEpoch + 1, Stream: id, Kind: KindEnd})
			p.waitClosed()
		}},
		{name: "answer to a stream never opened", verdict: port.MayHaveRun, code: port.CodeUnavailable, script: func(p *scriptedPeer) {
			p.end(p.read(KindCall).Stream+5, 0)
			p.waitClosed()
		}},
		{name: "rejected as not run", verdict: port.NotRun, code: "full", script: func(p *scriptedPeer) {
			id := p.read(KindCall).Stream
			body, _ := Marshal(port.NewError(port.NotRun, "full", "queue is full"))
			p.write(Frame{Epoch: scriptedEpoch, Stream: id, Kind: KindError, Body: body})
			p.waitClosed()
		}},
		{name: "rejected after it ran", verdict: port.Ran, code: "stale", script: func(p *scriptedPeer) {
			id := p.read(KindCall).Stream
			p.data(id, 0, "half")
			body, _ := Marshal(port.NewError(port.Ran, "stale", "too old"))
			p.write(Frame{Epoch: scriptedEpoch, Stream: id, Kind: KindError, Body: body})
			p.waitClosed()
		}},
		{name: "rejected with an invalid verdict", verdict: port.MayHaveRun, code: "odd", script: func(p *scriptedPeer) {
			id := p.read(KindCall).Stream
			body, _ := Marshal(&port.Error{Verdict: 9, Code: "odd"})
			p.write(Frame{Epoch: scriptedEpoch, Stream: id, Kind: KindError, Body: body})
			p.waitClosed()
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client := startClient(t, startScriptedPeer(t, test.script), testOptions())
			var answer echo
			err := client.Call(testContext(t), "echo", echo{Text: "q"}, &answer)
			if test.verdict == 0 {
				if err != nil || answer.Text != test.answer {
					t.Fatalf("answer %q, error %v", answer.Text, err)
				}
				return
			}
			if VerdictOf(err) != test.verdict || CodeOf(err) != test.code {
				t.Fatalf("error %v, want %s with verdict %s", err, test.code, test.verdict)
			}
			if answer.Text != "" {
				t.Fatalf("a failed call delivered %q", answer.Text)
			}
		})
	}
}

// expiringContext is a context whose deadline passes when the test closes passed.
type expiringContext struct {
	context.Context
	passed chan struct{}
}

func (e *expiringContext) Done() <-chan struct{} { return e.passed }

func (e *expiringContext) Err() error {
	select {
	case <-e.passed:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// An answer that arrives after the deadline of its call is dropped and counted.
func TestLateAnswerReachesNoOtherCall(t *testing.T) {
	ctx := &expiringContext{testContext(t), make(chan struct{})}
	address := startScriptedPeer(t, func(p *scriptedPeer) {
		first := p.read(KindCall).Stream
		close(ctx.passed)
		p.read(KindCancel)
		second := p.read(KindCall).Stream
		p.data(first, 0, "late")
		p.end(first, 1)
		p.data(second, 0, "own")
		p.end(second, 1)
		p.waitClosed()
	})
	client := startClient(t, address, testOptions())
	var answer echo
	err := client.Call(ctx, "echo", echo{}, &answer)
	if VerdictOf(err) != port.MayHaveRun || CodeOf(err) != port.CodeDeadline {
		t.Fatalf("first call: %v", err)
	}
	if err := client.Call(testContext(t), "echo", echo{}, &answer); err != nil || answer.Text != "own" {
		t.Fatalf("second call: %q, %v", answer.Text, err)
	}
	if late := client.Totals().LateFrames; late != 2 {
		t.Fatalf("%d late frames counted, want 2", late)
	}
}

// TestNotRunWhenNothingWasWritten covers the failures before the first written byte.
func TestNotRunWhenNothingWasWritten(t *testing.T) {
	_, address := startServer(t, testOptions(), func(s *Server) {
		s.Handle("echo", func(_ context.Context, call *Call) error { return call.Send(echo{}) })
	})
	wrongToken, wrongCluster, small := testOptions(), testOptions(), testOptions()
	wrongToken.Token = "guess"
	wrongCluster.ClusterID = "other"
	small.MaxFrameSize = 256
	failingDial := testOptions()
	failingDial.Dial = func(string, time.Duration) (net.Conn, error) { return nil, errors.New("refused") }
	expired, cancel := context.WithDeadline(context.Background(), time.Unix(1, 0))
	defer cancel()
	cases := []struct {
		name    string
		options Options
		ctx     context.Context
		method  string
		text    string
		code    port.Code
	}{
		{name: "dial failure", options: failingDial, code: port.CodeUnavailable, method: "echo"},
		{name: "wrong token", options: wrongToken, code: port.CodeUnauthorized, method: "echo"},
		{name: "wrong cluster", options: wrongCluster, code: port.CodeUnauthorized, method: "echo"},
		{name: "oversize request", options: small, code: port.CodeTooLarge, method: "echo", text: string(make([]byte, 300))},
		{name: "deadline passed", options: testOptions(), ctx: expired, code: port.CodeDeadline, method: "echo"},
		{name: "unknown method", options: testOptions(), code: port.CodeNotFound, method: "none"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			ctx := test.ctx
			if ctx == nil {
				ctx = testContext(t)
			}
			err := startClient(t, address, test.options).Call(ctx, test.method, echo{Text: test.text}, nil)
			if VerdictOf(err) != port.NotRun || CodeOf(err) != test.code {
				t.Fatalf("error %v, want %s with verdict not-run", err, test.code)
			}
		})
	}
}

// TestRepeatedCallFrameRunsOnce sends the same call frame twice.
func TestRepeatedCallFrameRunsOnce(t *testing.T) {
	runs := make(chan struct{}, 2)
	server, address := startServer(t, testOptions(), func(s *Server) {
		s.Handle("echo", func(context.Context, *Call) error {
			runs <- struct{}{}
			return nil
		})
	})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	options := testOptions().normalized()
	greeting := hello{Version: ProtocolVersion, ClusterID: "test", Token: "secret", Window: 1}
	if err := writeHandshake(conn, KindHello, 0, greeting, &Counters{}); err != nil {
		t.Fatal(err)
	}
	frame, _, err := readFrame(conn, maxHandshakeSize)
	if err != nil {
		t.Fatal(err)
	}
	item, err := encodeFrame(&Frame{Epoch: frame.Epoch, Stream: 1, Kind: KindCall, Method: "echo"}, options.MaxFrameSize)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(append(item, item...)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, conn)
	server.Shutdown(testContext(t))
	if count := len(runs); count != 1 {
		t.Fatalf("the call ran %d times", count)
	}
}
