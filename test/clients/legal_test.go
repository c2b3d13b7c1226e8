package clients

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

const (
	// longestIdle is four fifths of the configuration's idle timeout, longestHeader is within its
	// header timeout, and longestGap is a pause of a link that loses packets.
	longestIdle   = 12 * time.Second
	longestHeader = 2400 * time.Millisecond
	longestGap    = 2500 * time.Millisecond
	piecePause    = 150 * time.Millisecond
	// clientsAtOneAddress is the number of clients that share an address.
	clientsAtOneAddress = 400
	// configuredRoutes is the number of routes of a large configuration.
	configuredRoutes = 3000
)

// exchange is one connection of a client within the limits.
type exchange struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*exchange, error) {
	conn, err := net.DialTimeout("tcp", address, *waitTimeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(*waitTimeout))
	return &exchange{conn, bufio.NewReader(conn)}, nil
}

func (e *exchange) send(text string) error {
	_, err := io.WriteString(e, text)
	return err
}

// answer reads a whole answer, which must have the wanted status.
func (e *exchange) answer(want int) ([]byte, error) {
	response, err := http.ReadResponse(e.reader, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != want {
		err = fmt.Errorf("status %d, want %d: %.200s", response.StatusCode, want, body)
	}
	return body, err
}

// once sends the parts of a request on a new connection, with a pause before each but the first, and
// reads the answer.
func once(address string, want int, pause time.Duration, parts ...string) ([]byte, error) {
	e, err := dial(address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = e.Close() }()
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if err := e.send(part); err != nil {
			return nil, err
		}
	}
	return e.answer(want)
}

// pieces divides a text into count parts.
func pieces(text string, count int) []string {
	var parts []string
	size := (len(text) + count - 1) / count
	for len(text) > size {
		parts = append(parts, text[:size])
		text = text[size:]
	}
	return append(parts, text)
}

// chunked returns a body in chunks of a size.
func chunked(body string, size int) string {
	var encoded strings.Builder
	for len(body) > 0 {
		count := min(size, len(body))
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", count, body[:count])
		body = body[count:]
	}
	return encoded.String() + "0\r\n\r\n"
}

// atOnce runs a client several times at once and returns the first error.
func atOnce(clients int, run func(number int) error) error {
	var group errgroup.Group
	for number := range clients {
		group.Go(func() error { return run(number) })
	}
	return group.Wait()
}

// largeConfiguration returns a configuration with many routes.
func largeConfiguration(version uint64) []byte {
	var routes bytes.Buffer
	for i := range configuredRoutes {
		fmt.Fprintf(&routes, `{"name":"r-%d","hostname":"%s","pathPrefix":"/added-%d/","routeType":"idempotent","timeoutMs":2000,"targetLatencyMs":400,"priority":2,"trafficSplit":[{"backend":"%s","weight":90},{"backend":"%s","weight":10}],"maxAttempts":2},`,
			i, host, i, plain, lm)
	}
	return bytes.Replace(configuration(version), []byte(`"routes":[`), append([]byte(`"routes":[`), routes.Bytes()...), 1)
}

// TestClientsWithinLimits checks that clients within the limits of the configuration meet no other
// limit while nothing else happens.
func TestClientsWithinLimits(t *testing.T) {
	s := startSite(t)
	callers, operators := s.address(frontName, s.ports.caller), s.address(controlNames[0], s.ports.control)
	head := func(method, path string, fields ...string) string {
		return headOf(method, path, s.nextID("legal"), fields...)
	}
	largest := strings.Repeat("b", maxBodyBytes)
	withLength := func(body string) string {
		return head("POST", "/plain/x", lengthField(len(body))) + "\r\n" + body
	}
	fullHeader := func(method, path string) string {
		start := head(method, path, lengthField(0))
		return start + string(shortFields(maxHeaderBytes-len(start)-16)) + "\r\n"
	}
	for _, row := range []struct {
		name string
		run  func() error
	}{
		{"largest body", func() error {
			_, err := once(callers, http.StatusOK, 0, withLength(largest))
			return err
		}},
		{"largest body in chunks", func() error {
			_, err := once(callers, http.StatusOK, 0, head("POST", "/plain/x", chunkedField)+"\r\n"+chunked(largest, blockBytes))
			return err
		}},
		{"body in chunks of one byte", func() error {
			_, err := once(callers, http.StatusOK, 0, head("POST", "/plain/x", chunkedField)+"\r\n"+chunked(largest[:50_000], 1))
			return err
		}},
		{"largest header", func() error {
			_, err := once(callers, http.StatusOK, 0, fullHeader("POST", "/plain/x"))
			return err
		}},
		{"largest header at the operators", func() error {
			_, err := once(operators, http.StatusOK, 0, fullHeader("GET", "/loomgrade/config"))
			return err
		}},
		{"body over a slow link", func() error {
			_, err := once(callers, http.StatusOK, piecePause, pieces(withLength(largest[:200_000]), 20)...)
			return err
		}},
		{"body over a link that loses packets", func() error {
			_, err := once(callers, http.StatusOK, longestGap, pieces(withLength(largest[:20_000]), 4)...)
			return err
		}},
		{"job over a link that loses packets", func() error {
			id := s.nextID("job")
			body := fmt.Sprintf(`{"step":1,"model":%q,"requests":[{"id":"item-%s","path":"/jobs/run"}]}`, model, id)
			request := headOf("POST", "/jobs/submit", id, lengthField(len(body))) + "\r\n" + body
			_, err := once(callers, http.StatusAccepted, longestGap, pieces(request, 3)...)
			return err
		}},
		{"configuration over a link that loses packets", func() error {
			body := string(configuration(s.version.Add(1)))
			request := head("PUT", "/loomgrade/config", lengthField(len(body))) + "\r\n" + body
			_, err := once(operators, http.StatusOK, longestGap, pieces(request, 3)...)
			return err
		}},
		{"slow header", func() error {
			_, err := once(callers, http.StatusOK, longestHeader, pieces(withLength("b"), 2)...)
			return err
		}},
		{"idle connection", func() error {
			e, err := dial(callers)
			if err != nil {
				return err
			}
			defer func() { _ = e.Close() }()
			for i := range 2 {
				if i > 0 {
					time.Sleep(longestIdle)
				}
				if err := e.send(withLength("b")); err != nil {
					return err
				}
				if _, err := e.answer(http.StatusOK); err != nil {
					return err
				}
			}
			return nil
		}},
		{"many clients at one address", func() error {
			return atOnce(clientsAtOneAddress, func(int) error {
				e, err := dial(callers)
				if err != nil {
					return err
				}
				defer func() { _ = e.Close() }()
				for range 3 {
					if err := e.send(withLength("b")); err != nil {
						return err
					}
					if _, err := e.answer(http.StatusOK); err != nil {
						return err
					}
				}
				return nil
			})
		}},
		{"many long polls", func() error {
			return atOnce(clientsAtOneAddress, func(int) error {
				body, err := once(callers, http.StatusOK, 0, head("GET", "/loomgrade/lots/"+heldJob+"?sinceRevision=0", "X-Loomgrade-Wait-Ms: 1000")+"\r\n")
				if err == nil && !bytes.Contains(body, []byte(`"total":1`)) {
					err = fmt.Errorf("page %.100s", body)
				}
				return err
			})
		}},
		{"long stream", func() error {
			body, err := once(callers, http.StatusOK, 0, head("POST", "/stream/x", lengthField(0))+"\r\n")
			if err == nil && bytes.Count(body, []byte("\n\n")) != streamEvents {
				err = fmt.Errorf("%d bytes of the stream", len(body))
			}
			return err
		}},
		{"slow reader", func() error {
			e, err := dial(callers)
			if err != nil {
				return err
			}
			defer func() { _ = e.Close() }()
			if err := e.send(head("POST", "/large/x", lengthField(0)) + "\r\n"); err != nil {
				return err
			}
			response, err := http.ReadResponse(e.reader, nil)
			if err != nil {
				return err
			}
			defer func() { _ = response.Body.Close() }()
			read := 0
			for buf := make([]byte, blockBytes); ; time.Sleep(piecePause) {
				count, err := io.ReadFull(response.Body, buf)
				read += count
				if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
					break
				}
				if err != nil {
					return err
				}
			}
			if read != largeAnswerBytes {
				return fmt.Errorf("%d bytes, want %d", read, largeAnswerBytes)
			}
			return nil
		}},
		{"heartbeat of many models", func() error {
			replica := sitestandin.NewEngine(t, "i-many", lm)
			for i := range 200 {
				replica.Models = append(replica.Models, fmt.Sprint("model-with-a-name-", i))
			}
			return s.sendHeartbeat(controlNames[0], replica)
		}},
		{"configuration of many routes", func() error {
			version := s.version.Add(1)
			if _, err := s.call(http.MethodPut, operators, "/loomgrade/config", "", largeConfiguration(version), http.StatusOK); err != nil {
				return err
			}
			read, err := s.call(http.MethodGet, operators, "/loomgrade/config", "", nil, http.StatusOK)
			if err == nil && !bytes.Equal(read, largeConfiguration(version)) {
				err = fmt.Errorf("%d bytes were read back", len(read))
			}
			return err
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			if err := row.run(); err != nil {
				t.Error(err)
			}
		})
	}
}
