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

// bend makes a fault that writes a changed answer.
func bend(change func(*answer)) fault {
	return func(_ *faultServer, connection net.Conn, good answer) bool {
		bent := good.clone()
		change(&bent)
		return bent.write(connection) && !bent.noLength
	}
}

// cutAt makes a fault that writes a share of the answer's bytes, at least one
// unless the share is 0, and closes the connection.
func cutAt(share float64) fault {
	return func(_ *faultServer, connection net.Conn, good answer) bool {
		whole := good.bytes()
		length := int(share * float64(len(whole)))
		if share > 0 {
			length = max(1, length)
		}
		_, _ = connection.Write(whole[:length])
		return false
	}
}

// cutBeforeEnd leaves out the last bytes of the answer.
func cutBeforeEnd(_ *faultServer, connection net.Conn, good answer) bool {
	whole := good.bytes()
	cut := 1
	if good.chunked {
		last := good.pieces[len(good.pieces)-1]
		cut = len(last) + len("0\r\n\r\n") + len("\r\n")
	}
	_, _ = connection.Write(whole[:len(whole)-cut])
	return false
}

// silent answers nothing until the client closes the connection.
func silent(_ *faultServer, connection net.Conn, _ answer) bool {
	_, _ = connection.Read(make([]byte, 1))
	return false
}

// silentAfterHead answers half and then nothing until the client closes.
func silentAfterHead(_ *faultServer, connection net.Conn, good answer) bool {
	whole := good.bytes()
	_, _ = connection.Write(whole[:len(whole)/2])
	_, _ = connection.Read(make([]byte, 1))
	return false
}

// reset reads the request and resets the connection.
func reset(_ *faultServer, connection net.Conn, _ answer) bool {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return false
}

// afterRelease answers once the test says so, as if the caller still waited.
func afterRelease(server *faultServer, connection net.Conn, good answer) bool {
	<-server.release
	return good.write(connection)
}

// repeatPrevious answers with the whole answer to the request before.
func repeatPrevious(server *faultServer, connection net.Conn, good answer) bool {
	server.mutex.Lock()
	previous := *server.previous
	server.mutex.Unlock()
	return previous.write(connection)
}

func refuse(status int, verdict port.Verdict) fault {
	return bend(func(a *answer) {
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

// oversize puts twice as many spaces as the bound allows before the answer.
func oversize(limit int) fault {
	return bend(func(a *answer) {
		a.pieces[0] = append(bytes.Repeat([]byte{' '}, 2*limit), a.pieces[0]...)
	})
}

func headerField(name, value string) fault {
	return bend(func(a *answer) { a.header.Set(name, value) })
}

var (
	largeHeader   = headerField("X-Padding", strings.Repeat("x", 128<<10))
	wrongContent  = headerField("Content-Type", "text/html")
	wrongID       = headerField(api.HeaderRequestID, "r-other-1")
	noExplicitEnd = bend(func(a *answer) { a.noLength, a.chunked = true, false })
	malformed     = bend(func(a *answer) { a.pieces[0] = bytes.Replace(a.pieces[0], []byte("}"), []byte("]"), 1) })
	swappedChunks = bend(func(a *answer) { a.pieces[0], a.pieces[1] = a.pieces[1], a.pieces[0] })
	repeatedChunk = bend(func(a *answer) { a.pieces = append([][]byte{a.pieces[0]}, a.pieces...) })
	missingChunk  = bend(func(a *answer) { a.pieces = append(a.pieces[:1:1], a.pieces[2:]...) })
)
