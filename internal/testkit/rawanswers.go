package testkit

import (
	"net/http"
	"strings"
	"time"
)

// resetPause is the time between a part of a response and the reset of its connection.
const resetPause = 20 * time.Millisecond

// RawBody is the body of the responses of this file, as far as a client can know it.
const RawBody = "part"

// AnswersWithoutEnd returns responses whose body ends only with the connection, by name: a client
// can't tell them from responses that are cut off. status is a status with its reason, fields are
// fields of the head, each with its line break.
func AnswersWithoutEnd(status, fields string) map[string]RawAnswer {
	head := "HTTP/1.1 " + status + "\r\n" + fields + "\r\n"
	older := "HTTP/1.0 " + status + "\r\n" + fields
	return map[string]RawAnswer{
		"early, reset later":        {Parts: []string{head + RawBody}, Pause: resetPause, Early: true, End: ResetAtOnce},
		"early, reset at once":      {Parts: []string{head + RawBody}, Early: true, End: ResetAtOnce},
		"early, reset between":      {Parts: []string{head, RawBody, RawBody}, Pause: resetPause, Early: true, End: ResetAtOnce},
		"early, no body, reset":     {Parts: []string{head}, Pause: resetPause, Early: true, End: ResetAtOnce},
		"early, closed":             {Parts: []string{head + RawBody}, Early: true, End: CloseAtOnce},
		"reset":                     {Parts: []string{head + RawBody}, Pause: resetPause, End: ResetAtOnce},
		"closed":                    {Parts: []string{head + RawBody}, End: CloseAfter},
		"closed, no body":           {Parts: []string{head}, End: CloseAfter},
		"HTTP/1.0, closed":          {Parts: []string{older + "\r\n" + RawBody}, End: CloseAfter},
		"HTTP/1.0, early, reset":    {Parts: []string{older + "\r\n" + RawBody}, Pause: resetPause, Early: true, End: ResetAtOnce},
		"HTTP/1.0, chunked, closed": {Parts: []string{older + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + RawBody + "\r\n0\r\n\r\n"}, End: CloseAfter},
	}
}

// OpenWithoutEnd returns responses whose body only the end of the connection can end, on connections that
// stay open, by name.
func OpenWithoutEnd(status, fields string) map[string]RawAnswer {
	head := "HTTP/1.1 " + status + "\r\n" + fields
	return map[string]RawAnswer{
		"part":         {Parts: []string{head + "\r\n" + RawBody}},
		"no body":      {Parts: []string{head + "\r\n"}},
		"early":        {Parts: []string{head + "\r\n" + RawBody}, Early: true},
		"close":        {Parts: []string{head + "Connection: close\r\n\r\n" + RawBody}},
		"HTTP/1.0":     {Parts: []string{"HTTP/1.0 " + status + "\r\n" + fields + "\r\n" + RawBody}},
		"event stream": {Parts: []string{head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"}},
	}
}

// CutBodies returns responses whose body ends before the end that the head announces, by name.
func CutBodies(status, fields string) map[string]RawAnswer {
	head := "HTTP/1.1 " + status + "\r\n" + fields
	rows := map[string]RawAnswer{}
	for name, text := range map[string]string{
		"length":             head + "Content-Length: 9\r\n\r\n" + RawBody,
		"length, no body":    head + "Content-Length: 9\r\n\r\n",
		"chunk":              head + "Transfer-Encoding: chunked\r\n\r\n9\r\n" + RawBody,
		"chunk size":         head + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + RawBody + "\r\n1",
		"before last chunk":  head + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + RawBody + "\r\n",
		"last chunk":         head + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + RawBody + "\r\n0",
		"after last chunk":   head + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + RawBody + "\r\n0\r\n",
		"trailer":            head + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + RawBody + "\r\n0\r\nX-Later: a",
		"HTTP/1.0 of length": "HTTP/1.0 " + status + "\r\n" + fields + "Content-Length: 9\r\n\r\n" + RawBody,
	} {
		rows[name+", closed"] = RawAnswer{Parts: []string{text}, End: CloseAfter}
		rows[name+", reset"] = RawAnswer{Parts: []string{text}, Pause: resetPause, End: ResetAtOnce}
		rows[name+", early, reset"] = RawAnswer{Parts: []string{text}, Pause: resetPause, Early: true, End: ResetAtOnce}
	}
	return rows
}

// CutHeads returns responses whose head ends early, by name.
func CutHeads(status, fields string) map[string]RawAnswer {
	line := "HTTP/1.1 " + status
	rows := map[string]RawAnswer{}
	for name, text := range map[string]string{
		"nothing":           "",
		"version":           "HTTP/1",
		"status":            "HTTP/1.1 2",
		"status line":       line,
		"after status line": line + "\r\n",
		"name":              line + "\r\n" + fields + "Content-Le",
		"colon":             line + "\r\n" + fields + "Content-Length:",
		"value":             line + "\r\n" + fields + "Content-Length: 4",
		"CR":                line + "\r\n" + fields + "Content-Length: 4\r",
		"line":              line + "\r\n" + fields + "Content-Length: 4\r\n",
		"last CR":           line + "\r\n" + fields + "Content-Length: 4\r\n\r",
		"interim response":  "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		rows[name+", closed"] = RawAnswer{Parts: []string{text}, End: CloseAfter}
		rows[name+", early, closed"] = RawAnswer{Parts: []string{text}, Early: true, End: CloseAtOnce}
		rows[name+", reset"] = RawAnswer{Parts: []string{text}, Pause: resetPause, End: ResetAtOnce}
		rows[name+", early, reset"] = RawAnswer{Parts: []string{text}, Pause: resetPause, Early: true, End: ResetAtOnce}
	}
	return rows
}

// framed returns a response with RawBody and its length.
func framed(line, fields string) RawAnswer {
	return RawAnswer{Parts: []string{line + "\r\n" + fields + "Content-Length: 4\r\n\r\n" + RawBody}}
}

// InvalidStatuses returns responses whose status is none of a final response, by name.
func InvalidStatuses(fields string) map[string]RawAnswer {
	rows := map[string]RawAnswer{}
	for _, status := range []string{"000", "001", "020", "099", "+20", "-20", "600", "999"} {
		rows[status] = framed("HTTP/1.1 "+status+" Odd", fields)
		rows[status+", no reason"] = framed("HTTP/1.1 "+status, fields)
	}
	rows["000, chunked"] = RawAnswer{Parts: []string{"HTTP/1.1 000 Odd\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + RawBody + "\r\n0\r\n\r\n"}}
	rows["000, empty"] = RawAnswer{Parts: []string{"HTTP/1.1 000 Odd\r\n" + fields + "Content-Length: 0\r\n\r\n"}}
	rows["000, closed"] = RawAnswer{Parts: []string{"HTTP/1.1 000 Odd\r\n" + fields + "\r\n"}, End: CloseAfter}
	return rows
}

// InvalidVersions returns responses of other versions of the protocol than HTTP/1, by name.
func InvalidVersions(status, fields string) map[string]RawAnswer {
	rows := map[string]RawAnswer{}
	for _, version := range []string{"HTTP/9.9", "HTTP/2.0", "HTTP/0.9"} {
		rows[version] = framed(version+" "+status, fields)
	}
	return rows
}

// InvalidNames returns responses with a field whose name is no token, by name.
func InvalidNames(status, fields string) map[string]RawAnswer {
	line := "HTTP/1.1 " + status
	rows := map[string]RawAnswer{
		"length": {Parts: []string{line + "\r\n" + fields + "Content-Length : 4\r\n\r\n" + RawBody + " and more"}, End: CloseAfter},
		"length, more later": {
			Parts: []string{line + "\r\n" + fields + "Content-Length : 4\r\n\r\n" + RawBody, " and more"}, Pause: resetPause, End: CloseAfter,
		},
		"length beside chunks": {Parts: []string{line + "\r\n" + fields + "Content-Length : 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n" + RawBody + "\r\n0\r\n\r\n"}},
		"chunks":               {Parts: []string{line + "\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n4\r\n" + RawBody + "\r\n0\r\n\r\n"}, End: CloseAfter},
		"chunks beside length": {Parts: []string{line + "\r\n" + fields + "Content-Length: 4\r\nTransfer-Encoding : chunked\r\n\r\n" + RawBody}},
	}
	for name, field := range map[string]string{
		"blank":           "Bad Name",
		"trailing blank":  "Bad ",
		"tab":             "Bad\tName",
		"trailing tab":    "Bad\t",
		"NUL":             "Bad\x00Name",
		"control byte":    "Bad\x01Name",
		"escape":          "Bad\x1bName",
		"delete":          "Bad\x7fName",
		"no ASCII":        "B\xc3\xa4d",
		"separator":       "Bad(Name)",
		"carriage return": "Bad\rName",
	} {
		rows[name] = framed(line, fields+field+": x\r\n")
		rows[name+", first"] = framed(line, field+": x\r\n"+fields)
	}
	return rows
}

// InvalidTrailers returns chunked responses with a trailer whose name is no token, by name.
func InvalidTrailers(status, fields string) map[string]RawAnswer {
	head := "HTTP/1.1 " + status + "\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + RawBody + "\r\n0\r\n"
	return map[string]RawAnswer{
		"blank":        {Parts: []string{head + "Bad Name: x\r\n\r\n"}},
		"control byte": {Parts: []string{head + "Bad\x01Name: x\r\n\r\n"}},
		"no field":     {Parts: []string{head + "no field\r\n\r\n"}},
	}
}

// InvalidValues returns responses with a field whose value is invalid or contradicts another one, by
// name. The fields must not set Content-Length.
func InvalidValues(status, fields string) map[string]RawAnswer {
	line := "HTTP/1.1 " + status
	return map[string]RawAnswer{
		"NUL":                {Parts: framed(line, fields+"X-Bad: a\x00b\r\n").Parts},
		"carriage return":    {Parts: framed(line, fields+"X-Bad: a\rb\r\n").Parts},
		"no colon":           {Parts: framed(line, fields+"X-Bad\r\n").Parts},
		"two lengths":        {Parts: framed(line, fields+"Content-Length: 2\r\n").Parts},
		"list of lengths":    {Parts: []string{line + "\r\n" + fields + "Content-Length: 2, 4\r\n\r\n" + RawBody}},
		"signed length":      {Parts: []string{line + "\r\n" + fields + "Content-Length: +4\r\n\r\n" + RawBody}},
		"negative length":    {Parts: []string{line + "\r\n" + fields + "Content-Length: -4\r\n\r\n" + RawBody}},
		"empty length":       {Parts: []string{line + "\r\n" + fields + "Content-Length:\r\n\r\n" + RawBody}, End: CloseAfter},
		"hexadecimal length": {Parts: []string{line + "\r\n" + fields + "Content-Length: 0x4\r\n\r\n" + RawBody}},
		"folded length":      {Parts: []string{line + "\r\n" + fields + "Content-Length: 4\r\n 0\r\n\r\n" + RawBody}},
		"unknown coding":     {Parts: []string{line + "\r\n" + fields + "Transfer-Encoding: xchunked\r\n\r\n4\r\n" + RawBody + "\r\n0\r\n\r\n"}},
		"two codings":        {Parts: []string{line + "\r\n" + fields + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n" + RawBody + "\r\n0\r\n\r\n"}},
		"blank before line":  {Parts: framed(" "+line, fields).Parts},
		"lower-case version": {Parts: framed("http/1.1 "+status, fields).Parts},
	}
}

// LegalAnswer is a response that conforms to the protocol, with what a client must receive.
type LegalAnswer struct {
	RawAnswer
	Status int
	Body   string
}

// LegalAnswers returns responses that conform to the protocol, by name.
func LegalAnswers(fields string) map[string]LegalAnswer {
	const chunks = "2\r\n" + "pa" + "\r\n2\r\n" + "rt" + "\r\n0\r\n"
	rows := map[string]LegalAnswer{}
	add := func(name string, status int, body string, answer RawAnswer) {
		rows[name] = LegalAnswer{RawAnswer: answer, Status: status, Body: body}
	}
	ok := "HTTP/1.1 200 OK\r\n" + fields
	whole := ok + "Content-Length: 4\r\n\r\n" + RawBody
	add("length", http.StatusOK, RawBody, RawAnswer{Parts: []string{whole}})
	add("length, in pieces", http.StatusOK, RawBody, RawAnswer{Parts: []string{whole[:20], whole[20 : len(whole)-2], whole[len(whole)-2:]}, Pause: resetPause})
	add("length, then closed", http.StatusOK, RawBody, RawAnswer{Parts: []string{whole}, End: CloseAfter})
	add("length twice", http.StatusOK, RawBody, RawAnswer{Parts: []string{ok + "Content-Length: 4\r\nContent-Length: 4\r\n\r\n" + RawBody}})
	add("no bytes", http.StatusOK, "", RawAnswer{Parts: []string{ok + "Content-Length: 0\r\n\r\n"}})
	add("chunks", http.StatusOK, RawBody, RawAnswer{Parts: []string{ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"}})
	add("chunks, in pieces", http.StatusOK, RawBody, RawAnswer{Parts: []string{ok + "Transfer-Encoding: chunked\r\n\r\n2\r\npa", "\r\n2\r\nrt\r\n", "0\r\n", "\r\n"}, Pause: resetPause})
	add("chunks with extensions", http.StatusOK, RawBody, RawAnswer{Parts: []string{ok + "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\n" + RawBody + "\r\n0\r\n\r\n"}})
	add("chunks and a trailer", http.StatusOK, RawBody, RawAnswer{Parts: []string{ok + "Trailer: X-Later\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "X-Later: a\r\n\r\n"}})
	add("bare line feeds", http.StatusOK, RawBody, RawAnswer{Parts: []string{strings.ReplaceAll(whole, "\r\n", "\n")}})
	add("early, read on", http.StatusOK, RawBody, RawAnswer{Parts: []string{whole}, Early: true})
	add("early, chunks, read on", http.StatusOK, RawBody, RawAnswer{Parts: []string{ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"}, Early: true})
	add("HTTP/1.0 with length", http.StatusOK, RawBody, RawAnswer{Parts: []string{"HTTP/1.0 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\n" + RawBody}, End: CloseAfter})
	add("close announced", http.StatusOK, RawBody, RawAnswer{Parts: []string{ok + "Connection: close\r\nContent-Length: 4\r\n\r\n" + RawBody}, End: CloseAfter})
	add("interim responses", http.StatusOK, RawBody, RawAnswer{Parts: []string{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + whole}})
	add("no reason", http.StatusOK, RawBody, framed("HTTP/1.1 200", fields))
	add("unusual names", http.StatusOK, RawBody, framed("HTTP/1.1 200 OK", fields+"x-!#$%&'*+.^_`|~1: a\r\n1: b\r\n"))
	add("unusual values", http.StatusOK, RawBody, framed("HTTP/1.1 200 OK", fields+"X-Empty:\r\nX-Tab: a\tb\r\nX-Latin: \xe4\r\nX-Padded: \t a \t\r\n"))
	add("folded value", http.StatusOK, RawBody, framed("HTTP/1.1 200 OK", fields+"X-Folded: a\r\n b\r\n"))
	add("204", http.StatusNoContent, "", RawAnswer{Parts: []string{"HTTP/1.1 204 No Content\r\n" + fields + "\r\n"}})
	add("304", http.StatusNotModified, "", RawAnswer{Parts: []string{"HTTP/1.1 304 Not Modified\r\n" + fields + "\r\n"}})
	add("304 with length", http.StatusNotModified, "", RawAnswer{Parts: []string{"HTTP/1.1 304 Not Modified\r\n" + fields + "Content-Length: 4\r\n\r\n"}})
	add("299", 299, RawBody, framed("HTTP/1.1 299 Odd", fields))
	add("404", http.StatusNotFound, RawBody, framed("HTTP/1.1 404 Not Found", fields))
	add("500", http.StatusInternalServerError, RawBody, framed("HTTP/1.1 500 No", fields))
	add("599", 599, RawBody, framed("HTTP/1.1 599 Odd", fields))
	return rows
}
