package clients

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
)

const (
	// fieldBytes is what a client without an end of its header sends.
	fieldBytes = 1_000_000
	// legalFieldBytes keeps a header below maxHeaderBytes.
	legalFieldBytes = 15_000
	// farBodyBytes is what a client sends of a body far over the limit.
	farBodyBytes = 32 << 20
	blockBytes   = 64 << 10
	// trickleTime is how long a client sends single bytes, tricklePause apart.
	trickleTime  = 4 * time.Second
	tricklePause = 50 * time.Millisecond
	// partPause is the time between two parts of a header.
	partPause = 300 * time.Millisecond
)

// smallBufferDialer opens connections with small receive buffers, so that the kernel buffers little
// of what the client doesn't read.
var smallBufferDialer = net.Dialer{Timeout: sendTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
	const receiveBuffer = 4 << 10
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
}}

// shortFields returns distinct header fields of 3 to 6 bytes each, total bytes in all.
func shortFields(total int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var fields bytes.Buffer
	for i := 0; fields.Len() < total; i++ {
		name := []byte{letters[i%26]}
		for rest := i / 26; rest > 0 && len(name) < 4; rest /= len(letters) {
			name = append(name, letters[rest%len(letters)])
		}
		fields.Write(name)
		fields.WriteString(":\n")
	}
	return fields.Bytes()
}

// shortParameters returns distinct query parameters.
func shortParameters(total int) string {
	var parameters strings.Builder
	for i := 0; parameters.Len() < total; i++ {
		fmt.Fprintf(&parameters, "%x&", i)
	}
	return parameters.String()
}

func lengthField(length int) string { return fmt.Sprintf("Content-Length: %d", length) }

const chunkedField = "Transfer-Encoding: chunked"

// block is a part of a body.
var block = bytes.Repeat([]byte("b"), blockBytes)

// httpKinds are the kinds of clients of every HTTP door.
var httpKinds = []kind{
	{"header of short fields without end", 40, func(c *client) {
		c.write(append([]byte(c.head()), shortFields(fieldBytes)...))
	}},
	{"header of one long line without end", 40, func(c *client) {
		if c.write([]byte(c.head() + "x-long: ")) {
			c.repeat(fieldBytes, func(int) []byte { return block })
		}
	}},
	{"legal header of short fields, body stops", 600, func(c *client) {
		c.write([]byte(c.head(lengthField(10)) + string(shortFields(legalFieldBytes)) + "\r\n1"))
	}},
	{"legal header of one field, body stops", 600, func(c *client) {
		c.write([]byte(c.head(lengthField(10)) + strings.Repeat("a:\n", legalFieldBytes/3) + "\r\n1"))
	}},
	{"legal header that comes in two parts", 1000, func(c *client) {
		if c.write([]byte(c.head() + string(shortFields(legalFieldBytes/2)))) {
			time.Sleep(partPause)
			c.write(shortFields(legalFieldBytes / 2))
		}
	}},
	{"many query parameters, body stops", 600, func(c *client) {
		path := "http://" + host + c.target.path + "?" + shortParameters(legalFieldBytes)
		c.write([]byte(headOf(c.target.method, path, c.id(), lengthField(10)) + "\r\n1"))
	}},
	{"body but its last byte, in one piece", 100, func(c *client) {
		if c.write([]byte(c.head(lengthField(maxBodyBytes)) + "\r\n")) {
			c.write(bytes.Repeat([]byte("b"), maxBodyBytes-1))
		}
	}},
	{"body in small pieces, stops half-way", 100, func(c *client) {
		if c.write([]byte(c.head(lengthField(maxBodyBytes)) + "\r\n")) {
			c.repeat(maxBodyBytes/4, func(int) []byte { return block[:1400] })
		}
	}},
	{"body in large chunks without end", 100, func(c *client) {
		if c.write([]byte(c.head(chunkedField) + "\r\n")) {
			chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", len(block), block)
			c.repeat(maxBodyBytes-blockBytes, func(int) []byte { return chunk })
		}
	}},
	{"body in chunks of one byte without end", 100, func(c *client) {
		if c.write([]byte(c.head(chunkedField) + "\r\n")) {
			chunks := bytes.Repeat([]byte("1\r\nb\r\n"), 1000)
			c.repeat(50*len(chunks), func(int) []byte { return chunks })
		}
	}},
	{"chunk extension without end", 40, func(c *client) {
		if c.write([]byte(c.head(chunkedField) + "\r\n1;")) {
			c.repeat(fieldBytes, func(int) []byte { return block })
		}
	}},
	{"trailer of short fields without end", 40, func(c *client) {
		c.write(append([]byte(c.head(chunkedField)+"\r\n1\r\nb\r\n0\r\n"), shortFields(fieldBytes)...))
	}},
	{"body far over the limit, with a length", 40, func(c *client) {
		if c.write([]byte(c.head(lengthField(1<<40)) + "\r\n")) {
			c.repeat(farBodyBytes, func(int) []byte { return block })
		}
	}},
	{"body far over the limit, in chunks", 40, func(c *client) {
		if c.write([]byte(c.head(chunkedField) + "\r\n")) {
			chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", len(block), block)
			c.repeat(farBodyBytes, func(int) []byte { return chunk })
		}
	}},
	{"requests sent ahead, answers unread", 200, func(c *client) {
		for i := range 1000 {
			request := headOf(c.target.method, c.target.path, fmt.Sprint(c.id(), "-", i), lengthField(0)) + "\r\n"
			if !c.write([]byte(request)) {
				return
			}
		}
	}},
	{"requests with legal headers of short fields sent ahead", 200, func(c *client) {
		fields := string(shortFields(legalFieldBytes))
		for i := range 20 {
			request := headOf(c.target.method, c.target.path, fmt.Sprint(c.id(), "-", i), lengthField(0)) + fields + "\r\n"
			if !c.write([]byte(request)) {
				return
			}
		}
	}},
	{"silent", 1200, func(*client) {}},
	{"half a header", 1200, func(c *client) { c.write([]byte(c.head())) }},
	{"one byte of a body of ten", 1200, func(c *client) { c.write([]byte(c.head(lengthField(10)) + "\r\n1")) }},
	{"waits for a 100 and sends nothing", 600, func(c *client) {
		c.write([]byte(c.head(lengthField(maxBodyBytes), "Expect: 100-continue") + "\r\n"))
	}},
	{"header byte by byte", 600, func(c *client) {
		if c.write([]byte(c.head())) {
			c.trickle("x-slow: ")
		}
	}},
	{"body byte by byte", 600, func(c *client) {
		if c.write([]byte(c.head(lengthField(maxBodyBytes)) + "\r\n")) {
			c.trickle("")
		}
	}},
}

// trickle sends a start and then single bytes.
func (c *client) trickle(start string) {
	if !c.write([]byte(start)) {
		return
	}
	for end := time.Now().Add(trickleTime); time.Now().Before(end); time.Sleep(tricklePause) {
		if !c.write([]byte("b")) {
			return
		}
	}
}

// fill returns a text of a start, as many comma-separated elements as fit, and an end.
func fill(total int, start string, element func(int) string, end string) []byte {
	var text bytes.Buffer
	text.WriteString(start)
	for i := 0; text.Len() < total; i++ {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(element(i))
	}
	text.WriteString(end)
	return text.Bytes()
}

func always(element string) func(int) string { return func(int) string { return element } }

// completeBodies returns the kind of clients that send one complete request each, with one of the
// bodies, and read the answer.
func completeBodies(name string, clients int, method, path string, bodies ...[]byte) kind {
	return kind{name, clients, func(c *client) {
		body := bodies[c.number%len(bodies)]
		if c.write([]byte(headOf(method, path, c.id(), lengthField(len(body))) + "\r\n")) {
			c.write(body)
			c.readAnswer()
		}
	}}
}

// configurationKinds send configurations of very many short fields.
func configurationKinds() []kind {
	const size = maxBodyBytes - 1000
	routes := fill(size, `{"version":1,"routes":[`, always("{}"), "]}")
	shortRoutes := fill(size, `{"version":1,"routes":[`, func(i int) string {
		return fmt.Sprintf(`{"name":"%x","hostname":"h","pathPrefix":"/%x/","routeType":"idempotent","timeoutMs":1,"backend":"s"}`, i, i)
	}, `],"services":[{"name":"s"}]}`)
	return []kind{
		completeBodies("configurations of empty routes", 40, "PUT", "/loomgrade/config", routes),
		completeBodies("configurations of short routes", 40, "PUT", "/loomgrade/config", shortRoutes),
		completeBodies("configurations of other short elements", 60, "PUT", "/loomgrade/config",
			fill(size, `{"version":1,"services":[`, always("{}"), "]}"),
			fill(size, `{"version":1,"tenants":[`, always("{}"), "]}"),
			fill(size, `{"version":1,"tenants":[{"name":"t","apiKeys":[`, always(`""`), "]}]}"),
			fill(size, `{"version":1,"routes":[{"name":"r","trafficSplit":[`, always("{}"), "]}]}"),
			fill(size, `{"version":1,"routes":[{"name":"r","allowedRegions":[`, always(`""`), "]}]}"),
			fill(size, `{"version":1,"services":[{"name":"s","engine":{"models":[`, always("{}"), "]}}]}"),
			fill(size, `{"version":1,"unknown":[`, always("{}"), "]}"),
			fill(size, `{"version":1,"unknown":{`, func(i int) string { return fmt.Sprintf(`"%x":0`, i) }, "}}"),
			fill(size, `{"version":1,`, always(`"routes":[]`), "}"),
			bytes.Repeat([]byte("["), size)),
		completeBodies("versions with unknown fields", 60, "POST", "/loomgrade/version-put",
			fill(size, `{"model":"m","version":0,"unknown":[`, always("0"), "]}"),
			fill(size, `{"model":"`, always("m"), `","version":1}`)),
	}
}

// heartbeatKind sends heartbeats of very many models.
func heartbeatKind() kind {
	const size = 63 << 10
	return completeBodies("heartbeats of short models", 600, "PUT", "/loomgrade/replicas/i-crowd",
		fill(size, `{"backend":"b","address":"127.0.0.1:1","zone":"z","models":[`, always("{}"), "]}"),
		fill(size, `{"backend":"b","address":"127.0.0.1:1","zone":"z","unknown":[`, always("{}"), "]}"))
}

// jobKinds send jobs of very many short fields.
func jobKinds() []kind {
	const size = maxBodyBytes - 1000
	return []kind{
		completeBodies("jobs of short header fields", 40, "POST", "/jobs/submit",
			fill(size, `{"model":"nobody","requests":[{"id":"i","path":"/jobs/x","headers":{`, func(i int) string { return fmt.Sprintf(`"%x":""`, i) }, "}}]}")),
		completeBodies("jobs of short items", 40, "POST", "/jobs/submit",
			fill(size, `{"model":"nobody","requests":[`, func(i int) string { return fmt.Sprintf(`{"id":"%x","path":"/"}`, i) }, "]}")),
		completeBodies("jobs of other short elements", 40, "POST", "/jobs/submit",
			fill(size, `{"requests":[`, always("{}"), "]}"),
			fill(size, `{"unknown":[`, always("{}"), "]}"),
			fill(size, `{"requests":[{"id":"i","path":"/jobs/x","unknown":[`, always("{}"), "]}]}"),
			fill(size, `{`, always(`"requests":[{"id":"i","path":"/"}]`), "}"),
			bytes.Repeat([]byte("["), size)),
	}
}

// readerKinds ask for large answers and do not read them.
func readerKinds() []kind {
	ask := func(requests int, method, path string) func(*client) {
		return func(c *client) {
			for i := range requests {
				if !c.write([]byte(headOf(method, path, fmt.Sprint(c.id(), "-", i), lengthField(0)) + "\r\n")) {
					return
				}
			}
		}
	}
	return []kind{
		{"large answers unread", 300, ask(1, "POST", "/large/x")},
		{"item bodies unread", 300, ask(1, "GET", "/loomgrade/items/"+heldJob+"?id="+heldItem)},
		{"pages of a job unread", 300, ask(1, "GET", "/loomgrade/lots/"+largeJob+"?sinceRevision=0")},
		{"long polls of a job", 600, func(c *client) {
			c.write([]byte(headOf("GET", "/loomgrade/lots/"+heldJob+"?sinceRevision=0", c.id(), "X-Loomgrade-Wait-Ms: 1000") + "\r\n"))
		}},
	}
}
