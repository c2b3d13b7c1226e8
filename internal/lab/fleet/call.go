package fleet

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/port"
)

// call sends a call whose answer comes once: the receiver serves it and replies,
// with nil when it has no answer. Done gets the answer's body, or false if none
// came within the timeout.
func (f *Fleet) call(from, to *endpoint, sent message, timeout time.Duration, serve func(body []byte, reply func(any)), done func(body []byte, answered bool)) {
	ended := false
	incarnation := from.incarnation
	end := func(body []byte, answered bool) {
		if ended || !from.up || from.incarnation != incarnation {
			return
		}
		ended = true
		done(body, answered)
	}
	f.send(from, to, sent, func(body []byte) {
		serve(body, func(reply any) {
			f.answer(to, from, sent.kind, reply, func(body []byte) { end(body, body != nil) })
		})
	})
	f.After(timeout, func() {
		if !ended {
			f.charge(from, sent.kind, func() { end(nil, false) })
		}
	})
}

// decode decodes a body as its receiver does.
func (f *Fleet) decode(body []byte, into any) {
	if err := wire.Unmarshal(body, into); err != nil {
		f.violate("decoding", "%T: %v", into, err)
	}
}

// decodeResult gives the result of a proposal; false means that none came.
func (f *Fleet) decodeResult(body []byte, answered bool) (port.Result, bool) {
	var result port.Result
	if answered {
		f.decode(body, &result)
	}
	return result, answered
}

// resultOrNothing is the answer to a proposal: no data frame when it failed.
func resultOrNothing(result port.Result, done bool) any {
	if !done {
		return nil
	}
	return result
}
