package httpcall

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

const (
	contentTypeJSON = "application/json"
	// errorBodyLimit limits the part of an error response that is read.
	errorBodyLimit = 16 << 10
	// maxRetryAfter limits the Retry-After that is accepted.
	maxRetryAfter = time.Hour
)

// Failure returns the error for a failed call: CodeDeadline or CodeCancelled if ctx has
// ended, CodeBackEnd otherwise.
func Failure(ctx context.Context, verdict port.Verdict, err error, action string) error {
	code := port.CodeBackEnd
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
	case errors.Is(cause, context.DeadlineExceeded):
		code = port.CodeDeadline
	default:
		code = port.CodeCancelled
	}
	return eris.Wrap(port.NewError(verdict, code, "%v", err).WithCause(err), action)
}

// IsConnectionClosed reports whether a call's error means that the peer closed or reset the
// connection before the response was complete. A timeout does not count.
func IsConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Malformed returns the error for a response that violates the protocol. The request may
// have run, but its response must not be delivered.
func Malformed(format string, arguments ...any) error {
	return eris.Wrap(port.NewError(port.MayHaveRun, port.CodeBackEnd, format, arguments...), "read answer")
}

// ReadBody reads and closes a response body of at most limit bytes. It rejects a body that
// is truncated, longer than limit, or ended only by the close of the connection.
func ReadBody(response *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	ctx := response.Request.Context()
	if response.ContentLength > limit && response.Request.Method != http.MethodHead {
		return nil, tooLarge(limit)
	}
	if err := CheckEnd(response); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, Failure(ctx, port.MayHaveRun, err, "read answer")
	}
	if int64(len(body)) > limit {
		return nil, tooLarge(limit)
	}
	return body, nil
}

func tooLarge(limit int64) error {
	return eris.Wrap(port.NewError(port.MayHaveRun, port.CodeTooLarge, "answer is longer than %d bytes", limit), "read answer")
}

// CheckContentType rejects a response of another media type.
func CheckContentType(response *http.Response, want string) error {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || mediaType != want {
		return Malformed("answer has content type %q, want %q", response.Header.Get("Content-Type"), want)
	}
	return nil
}

// RefusedAsNotRun reports whether a response is a credible refusal as not run: status 4xx
// or 503 with the header HeaderVerdict "not-run".
func RefusedAsNotRun(response *http.Response) bool {
	clientError := response.StatusCode >= 400 && response.StatusCode < 500
	if !clientError && response.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	return port.ParseVerdict(response.Header.Get(api.HeaderVerdict)) == port.NotRun
}

// ParseError decodes an error response and closes its body. Without a credible not-run the
// verdict is MayHaveRun, or Ran if the response states it. An api.ErrorBody, if present,
// sets code and message.
func ParseError(response *http.Response) error {
	failure := port.NewError(port.MayHaveRun, port.CodeBackEnd, "answered status %d", response.StatusCode)
	switch {
	case RefusedAsNotRun(response):
		failure.Verdict = port.NotRun
	case port.ParseVerdict(response.Header.Get(api.HeaderVerdict)) == port.Ran:
		failure.Verdict = port.Ran
	}
	failure.RetryAfter = parseRetryAfter(response.Header.Get("Retry-After"))
	fillFromBody(failure, response)
	return eris.Wrap(failure, "back end refused")
}

func fillFromBody(failure *port.Error, response *http.Response) {
	defer closeAfter(response, errorBodyTimeout).Stop()
	body, err := ReadBody(response, errorBodyLimit)
	if err != nil {
		return
	}
	var decoded api.ErrorBody
	if json.Unmarshal(body, &decoded) != nil || decoded.Error.Code == "" {
		return
	}
	detail := decoded.Error
	failure.Code = port.Code(detail.Code)
	failure.Message = detail.Message
	failure.Field, failure.Value, failure.Allowed = detail.Field, detail.Value, detail.Allowed
	if detail.RetryAfterMs > 0 {
		failure.RetryAfter = min(time.Duration(detail.RetryAfterMs)*time.Millisecond, maxRetryAfter)
	}
}

func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// JSON sends a request with an optional JSON body and decodes the JSON response, at most
// limit bytes, into answer. Every status but 200 is an error.
func (c *Client) JSON(ctx context.Context, method, url, id string, body, answer any, limit int64) error {
	ctx, cancel := c.WithTimeout(ctx)
	defer cancel()
	header := http.Header{"Accept": {contentTypeJSON}}
	encoded, err := encodeBody(header, body)
	if err != nil {
		return err
	}
	if id == "" {
		id = c.nextID()
	}
	request, err := NewRequest(ctx, method, url, id, header, encoded)
	if err != nil {
		return err
	}
	response, err := c.Send(request)
	if err != nil {
		return err
	}
	return decodeAnswer(response, answer, limit)
}

func encodeBody(header http.Header, body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(port.NewError(port.NotRun, port.CodeInvalid, "%v", err), "encode request")
	}
	header.Set("Content-Type", contentTypeJSON)
	return encoded, nil
}

func decodeAnswer(response *http.Response, answer any, limit int64) error {
	if response.StatusCode != http.StatusOK {
		return ParseError(response)
	}
	if err := CheckContentType(response, contentTypeJSON); err != nil {
		_ = response.Body.Close()
		return err
	}
	body, err := ReadBody(response, limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return Malformed("malformed JSON: %v", err)
	}
	return nil
}
