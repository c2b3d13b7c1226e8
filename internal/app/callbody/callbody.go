// Package callbody reads the bodies of calls within limits: of their size, and of the memory for them and
// for what is decoded from them.
package callbody

import (
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/core/jsoncost"
)

// Reader reads bodies within a budget. The zero Reader has no limit of memory.
type Reader struct{ budget *membudget.Budget }

// NewReader returns a Reader; a nil budget means no limit.
func NewReader(budget *membudget.Budget) Reader { return Reader{budget} }

// Read reads the body of a call of at most limit bytes, and reserves the memory to decode it. If ok is
// false, it has written the error: 413 for a body that is too large, 408 for one that did not arrive in
// time, 400 for one that could not be read, 503 if no memory is free. Otherwise the caller must call
// release once it has no use for what is decoded.
func (b Reader) Read(w http.ResponseWriter, r *http.Request, limit int64, costs *jsoncost.Costs) (body []byte, release func(), ok bool) {
	if r.ContentLength > limit {
		http.Error(w, fmt.Sprintf("the body is larger than %d bytes", limit), http.StatusRequestEntityTooLarge)
		return nil, nil, false
	}
	reservation := b.budget.NewReservation()
	body, _, complete, err := membudget.Read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, reservation)
	cost := costs.Of(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		http.Error(w, "the body did not arrive in time", http.StatusRequestTimeout)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case complete && !reservation.Fits(cost):
		http.Error(w, "the body takes more memory than the process has for bodies", http.StatusRequestEntityTooLarge)
	case complete && reservation.Reserve(cost):
		return body, reservation.Close, true
	default:
		reject(w)
	}
	reservation.Close()
	return nil, nil, false
}

// Reserve reserves the memory for an answer. If ok is false, it has written 503. Otherwise the caller must
// call release once the answer is written.
func (b Reader) Reserve(w http.ResponseWriter, bytes int64) (release func(), ok bool) {
	reservation := b.budget.NewReservation()
	if !reservation.Reserve(bytes) {
		reject(w)
		return nil, false
	}
	return reservation.Close, true
}

// reject responds that a call was not made for want of memory.
func reject(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "no memory is free for the call", http.StatusServiceUnavailable)
}
