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

const (
	streamBufferBytes = 16 << 10
	// maxStreamEventBytes limits one event of a stream that can resume.
	maxStreamEventBytes = 1 << 20
)

// stream forwards a streamed answer. If it breaks off and the route allows it, the stream
// resumes at another replica, under the header of the first; otherwise stream aborts the
// caller's connection, so that the response does not look complete.
func (f *Front) stream(ctx context.Context, w http.ResponseWriter, route *routing.Route, request proxy.Request, answer *proxy.Answer) {
	w.WriteHeader(answer.Status)
	if !route.Resumable {
		if err := copyStream(w, answer.Stream); err != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	events := eventCopier{out: w, control: http.NewResponseController(w), lastEvent: request.Header.Get(f.headers.LastEventID)}
	for attempt := 1; ; attempt++ {
		err := events.copyEvents(answer.Stream)
		if err == nil {
			return
		}
		if errors.Is(err, errCallerGone) || attempt >= max(1, route.MaxAttempts) || ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		f.config.Logger.Info().Str(eventlog.Field, eventlog.StreamResumed).Str("id", request.ID).Str("route", route.Name).
			Str("replica", answer.Replica.ID).Str("after_event", events.lastEvent).Err(err).Msg("stream broke off; resuming at another replica")
		if events.lastEvent != "" {
			request.Header.Set(f.headers.LastEventID, events.lastEvent)
		}
		request.MaySend = nil // the caller already has a part of the stream
		next, failure := f.config.Proxy.Do(ctx, request)
		if failure != nil || next.Stream == nil {
			panic(http.ErrAbortHandler)
		}
		answer = next
	}
}

// copyStream copies a stream and flushes after each read.
func copyStream(w http.ResponseWriter, stream *http.Response) error {
	defer func() { _ = stream.Body.Close() }()
	control := http.NewResponseController(w)
	buffer := make([]byte, streamBufferBytes)
	for {
		count, err := stream.Body.Read(buffer)
		if count > 0 {
			if _, writeErr := w.Write(buffer[:count]); writeErr != nil {
				return errCallerGone
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

var (
	// errCallerGone reports that the caller accepts no more data.
	errCallerGone = errors.New("front: caller disconnected")
	// errEventTooLong reports an event above maxStreamEventBytes.
	errEventTooLong = errors.New("front: event too long")
)

// eventCopier copies complete events, so that a stream can resume after any of them.
type eventCopier struct {
	out     io.Writer
	control *http.ResponseController
	// lastEvent is the id of the last event that was copied.
	lastEvent string
}

// copyEvents copies the events of one replica's stream. It drops an incomplete event at the
// end of a broken stream.
func (p *eventCopier) copyEvents(stream *http.Response) error {
	defer func() { _ = stream.Body.Close() }()
	reader := bufio.NewReaderSize(stream.Body, streamBufferBytes)
	var event bytes.Buffer
	id := ""
	for {
		start := event.Len()
		if err := appendLine(&event, reader); err != nil {
			if errors.Is(err, io.EOF) && event.Len() == 0 {
				return nil
			}
			return errors.Join(io.ErrUnexpectedEOF, err)
		}
		line := event.Bytes()[start:]
		content := bytes.TrimRight(line, "\r\n")
		if name, value, found := bytes.Cut(content, []byte(":")); found && string(name) == "id" {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		if len(content) > 0 {
			continue
		}
		if _, err := p.out.Write(event.Bytes()); err != nil {
			return errCallerGone
		}
		_ = p.control.Flush()
		event.Reset()
		if id != "" {
			p.lastEvent = id
		}
	}
}

// appendLine appends the next line of a stream to its event, which may not exceed
// maxStreamEventBytes.
func appendLine(event *bytes.Buffer, reader *bufio.Reader) error {
	for {
		part, err := reader.ReadSlice('\n')
		if event.Len()+len(part) > maxStreamEventBytes {
			return errEventTooLong
		}
		event.Write(part)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
