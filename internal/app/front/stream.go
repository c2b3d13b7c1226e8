package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/core/routing"
)

const streamBuffer = 16 << 10

// stream hands a streamed answer on as it comes. One that breaks off goes on at
// another replica if its route allows it, under the head of the first; else it
// breaks the caller's connection, so that it does not look whole.
func (f *Front) stream(ctx context.Context, w http.ResponseWriter, route *routing.Route, request proxy.Request, answer *proxy.Answer) {
	w.WriteHeader(answer.Status)
	if !route.Resumable {
		if err := passBytes(w, answer.Stream); err != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	passed := eventPasser{out: w, control: http.NewResponseController(w), lastEvent: request.Header.Get(f.headers.LastEventID)}
	for attempt := 1; ; attempt++ {
		err := passed.pass(answer.Stream)
		if err == nil {
			return
		}
		if errors.Is(err, errCallerLeft) || attempt >= max(1, route.MaxAttempts) || ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		f.config.Logger.Info().Str(eventlog.Field, eventlog.StreamResumed).Str("id", request.ID).Str("route", route.Name).
			Str("replica", answer.Replica.ID).Str("after_event", passed.lastEvent).Err(err).Msg("a stream broke off and goes on at another replica")
		if passed.lastEvent != "" {
			request.Header.Set(f.headers.LastEventID, passed.lastEvent)
		}
		next, failure := f.config.Proxy.Do(ctx, request)
		if failure != nil || next.Stream == nil {
			panic(http.ErrAbortHandler)
		}
		answer = next
	}
}

// passBytes copies a stream as it comes.
func passBytes(w http.ResponseWriter, stream *http.Response) error {
	defer func() { _ = stream.Body.Close() }()
	control := http.NewResponseController(w)
	buffer := make([]byte, streamBuffer)
	for {
		count, err := stream.Body.Read(buffer)
		if count > 0 {
			if _, failed := w.Write(buffer[:count]); failed != nil {
				return errCallerLeft
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// errCallerLeft reports that the caller takes no more.
var errCallerLeft = errors.New("front: the caller left")

// eventPasser copies whole events, so that a stream can be joined after any.
type eventPasser struct {
	out     io.Writer
	control *http.ResponseController
	// lastEvent is the id of the last event that was passed.
	lastEvent string
}

// pass copies a run's events. What was begun of an event when the run broke off
// is left out.
func (p *eventPasser) pass(stream *http.Response) error {
	defer func() { _ = stream.Body.Close() }()
	reader := bufio.NewReaderSize(stream.Body, streamBuffer)
	var event bytes.Buffer
	id := ""
	for {
		line, err := reader.ReadBytes('\n')
		event.Write(line)
		if err != nil {
			if errors.Is(err, io.EOF) && event.Len() == 0 {
				return nil
			}
			return errors.Join(io.ErrUnexpectedEOF, err)
		}
		content := bytes.TrimRight(line, "\r\n")
		if name, value, found := bytes.Cut(content, []byte(":")); found && string(name) == "id" {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		if len(content) > 0 {
			continue
		}
		if _, err := p.out.Write(event.Bytes()); err != nil {
			return errCallerLeft
		}
		_ = p.control.Flush()
		event.Reset()
		if id != "" {
			p.lastEvent = id
		}
	}
}
