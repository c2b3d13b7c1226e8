package clients

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

const (
	// sendTimeout limits how long a client of a crowd waits for a server that does not read.
	sendTimeout = 3 * time.Second
	// holdTime is how long a crowd stays after its last client has sent what it wants to send.
	holdTime = 700 * time.Millisecond
)

// target is a request line of a door.
type target struct{ method, path string }

// door is a listener of a process.
type door struct {
	name    string
	process string
	address string
	targets []target
	// check sends one ordinary request.
	check func() error
}

// kind is a kind of client that does not behave.
type kind struct {
	name    string
	clients int
	// send sends what the client wants to send. The connection then stays open until the crowd leaves.
	send func(*client)
}

// client is one connection of a crowd.
type client struct {
	net.Conn
	number int
	target target
	crowd  *crowd
}

// crowd is a number of clients of one kind at a door.
type crowd struct {
	leave   chan struct{}
	sending sync.WaitGroup
	present sync.WaitGroup
}

// startCrowd connects the clients.
func startCrowd(d door, k kind) *crowd {
	c := &crowd{leave: make(chan struct{})}
	for number := range k.clients {
		c.sending.Add(1)
		c.present.Go(func() {
			sent := sync.OnceFunc(c.sending.Done)
			defer sent()
			conn, err := smallBufferDialer.Dial("tcp", d.address)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			member := &client{Conn: conn, number: number, crowd: c}
			if len(d.targets) > 0 {
				member.target = d.targets[number%len(d.targets)]
			}
			k.send(member)
			sent()
			<-c.leave
		})
	}
	return c
}

// awaitSent waits until all clients have sent what they want to send, and holdTime more.
func (c *crowd) awaitSent() {
	c.sending.Wait()
	time.Sleep(holdTime)
}

// end makes the clients leave.
func (c *crowd) end() {
	close(c.leave)
	c.present.Wait()
}

// write sends data and reports whether the connection still takes more.
func (c *client) write(data []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err := c.Write(data)
	return err == nil
}

// head returns the start of a request of the client's target, without the end of its header.
func (c *client) head(fields ...string) string {
	return headOf(c.target.method, c.target.path, c.id(), fields...)
}

func headOf(method, path, id string, fields ...string) string {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: " + host, sitestandin.Headers.RequestID + ": " + id}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

func (c *client) id() string { return fmt.Sprintf("crowd-%p-%d", c.crowd, c.number) }

// readAnswer reads until the server closes the connection or sends nothing for sendTimeout.
func (c *client) readAnswer() {
	buf := make([]byte, 16<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(sendTimeout))
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// playCrowd lets a crowd come and leave, and checks the process of the door.
func (s *site) playCrowd(t *testing.T, d door, k kind) {
	t.Helper()
	p := s.processes[d.process]
	baseline := p.descriptors()
	observed := observe(t, p, s.megabytes)
	c := startCrowd(d, k)
	c.awaitSent()
	beside := eventuallyWhileRunning(p, d.check)
	c.end()
	after := eventuallyWhileRunning(p, d.check)
	if beside != nil {
		t.Errorf("no ordinary request is answered beside the crowd: %v", beside)
	}
	if after != nil {
		t.Errorf("no ordinary request is answered after the crowd: %v", after)
	}
	if p.running() {
		const margin = 64 // kept connections to other processes and of ordinary clients
		err := eventuallyWhileRunning(p, func() error {
			if open := p.descriptors(); open > baseline+margin {
				return fmt.Errorf("%d descriptors are open, %d were before the crowd", open, baseline)
			}
			return nil
		})
		if err != nil {
			t.Error(err)
		}
	}
	observed.finish(t)
}

// eventuallyWhileRunning polls until attempt succeeds or the process has ended.
func eventuallyWhileRunning(p *process, attempt func() error) error {
	var ended error
	err := eventually(func() error {
		if !p.running() {
			ended = fmt.Errorf("%s has ended", p.name)
			return nil
		}
		return attempt()
	})
	if ended != nil {
		return ended
	}
	return err
}

// repeat writes pieces until total bytes are sent, and reports whether the connection still takes
// more.
func (c *client) repeat(total int, piece func(int) []byte) bool {
	for sent, i := 0, 0; sent < total; i++ {
		next := piece(i)
		if !c.write(next[:min(len(next), total-sent)]) {
			return false
		}
		sent += len(next)
	}
	return true
}
