package contracttest

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// alterAnswer returns a fault that writes a modified response.
func alterAnswer(change func(*answer)) fault {
	return func(_ *faultServer, connection net.Conn, correct answer) bool {
		altered := correct.clone()
		change(&altered)
		return altered.write(connection) && !altered.noLength
	}
}

// truncateAt returns a fault that writes a fraction of the response, at least one byte
// unless the fraction is 0, and closes the connection.
func truncateAt(fraction float64) fault {
	return func(_ *faultServer, connection net.Conn, correct answer) bool {
		encoded := correct.bytes()
		length := int(fraction * float64(len(encoded)))
		if fraction > 0 {
			length = max(1, length)
		}
		_, _ = connection.Write(encoded[:length])
		return false
	}
}

// truncateBeforeEnd omits the last bytes of the response.
func truncateBeforeEnd(_ *faultServer, connection net.Conn, correct answer) bool {
	encoded := correct.bytes()
	missing := 1
	if correct.chunked {
		last := correct.pieces[len(correct.pieces)-1]
		missing = len(last) + len("0\r\n\r\n") + len("\r\n")
	}
	_, _ = connection.Write(encoded[:len(encoded)-missing])
	return false
}

// neverAnswer writes nothing until the client closes the connection.
func neverAnswer(_ *faultServer, connection net.Conn, _ answer) bool {
	_, _ = connection.Read(make([]byte, 1))
	return false
}

// stallAfterHalf writes half of the response, then nothing until the client closes.
func stallAfterHalf(_ *faultServer, connection net.Conn, correct answer) bool {
	encoded := correct.bytes()
	_, _ = connection.Write(encoded[:len(encoded)/2])
	_, _ = connection.Read(make([]byte, 1))
	return false
}

// resetConnection resets the connection after reading the request.
func resetConnection(_ *faultServer, connection net.Conn, _ answer) bool {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return false
}

// answerAfterRelease writes the response once the test releases it, even if the caller
// has cancelled.
func answerAfterRelease(server *faultServer, connection net.Conn, correct answer) bool {
	<-server.release
	return correct.write(connection)
}

// repeatPrevious writes the response to the previous request again.
func repeatPrevious(server *faultServer, connection net.Conn, correct answer) bool {
	server.mutex.Lock()
	previous := *server.previous
	server.mutex.Unlock()
	return previous.write(connection)
}

func refuse(status int, verdict port.Verdict) fault {
	return alterAnswer(func(a *answer) {
		a.status = status
		a.chunked = false
		a.header = http.Header{"Content-Type": {"application/json"}, "Retry-After": {"2"}}
		if verdict != port.VerdictUnset {
			a.header.Set(api.HeaderVerdict, verdict.String())
		}
		body, _ := json.Marshal(api.ErrorBody{Error: api.ErrorDetail{Code: string(port.CodeQueueFull), Verdict: verdict.String(), Message: "full"}})
		a.pieces = [][]byte{body}
	})
}

// refuseMalformed refuses as not run in a head that is malformed.
func refuseMalformed(server *faultServer, connection net.Conn, correct answer) bool {
	return alterAnswer(func(a *answer) {
		a.status, a.badName = http.StatusServiceUnavailable, true
		a.header.Set(api.HeaderVerdict, port.NotRun.String())
	})(server, connection, correct)
}

// oversize prepends twice as many spaces as the limit allows.
func oversize(limit int) fault {
	return alterAnswer(func(a *answer) {
		a.pieces[0] = append(bytes.Repeat([]byte{' '}, 2*limit), a.pieces[0]...)
	})
}

func headerField(name, value string) fault {
	return alterAnswer(func(a *answer) { a.header.Set(name, value) })
}

var (
	largeHeader   = headerField("X-Padding", strings.Repeat("x", 128<<10))
	wrongContent  = headerField("Content-Type", "text/html")
	wrongID       = headerField(api.HeaderRequestID, "r-other-1")
	noExplicitEnd = alterAnswer(func(a *answer) { a.noLength, a.chunked = true, false })
	badName       = alterAnswer(func(a *answer) { a.badName = true })
	badStatus     = alterAnswer(func(a *answer) { a.status = 0 })
	malformed     = alterAnswer(func(a *answer) { a.pieces[0] = bytes.Replace(a.pieces[0], []byte("}"), []byte("]"), 1) })
	swappedChunks = alterAnswer(func(a *answer) { a.pieces[0], a.pieces[1] = a.pieces[1], a.pieces[0] })
	repeatedChunk = alterAnswer(func(a *answer) { a.pieces = append([][]byte{a.pieces[0]}, a.pieces...) })
	missingChunk  = alterAnswer(func(a *answer) { a.pieces = append(a.pieces[:1:1], a.pieces[2:]...) })
)
