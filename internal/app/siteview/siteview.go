package siteview

import (
	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// MethodWatch takes a WatchRequest and streams WatchAnswer to a watcher.
const MethodWatch = "site.watch"

// maxWholeBytes bounds a whole state: ten times that of 3,500 replicas, of 250 bytes each.
const maxWholeBytes = 10 << 20

// WatchRequest begins a watch after a position; 0 asks for everything.
type WatchRequest struct {
	After uint64 `cbor:"1,keyasint"`
	// Interest says which changes are to be sent. An observer does not change
	// it: it would lack what it left out.
	Interest sitestate.Interest `cbor:"2,keyasint,omitempty"`
}

// WatchAnswer brings a watcher up to date.
type WatchAnswer struct {
	// Whole is empty, or what is to be applied before Update, packed once for many watchers: a
	// sitestate.Update with the state at an earlier position, or with many changes.
	Whole  []byte           `cbor:"1,keyasint,omitempty"`
	Update sitestate.Update `cbor:"2,keyasint"`
}

// updates gives what is to be applied, in order.
func (a *WatchAnswer) updates() ([]sitestate.Update, error) {
	if len(a.Whole) == 0 {
		return []sitestate.Update{a.Update}, nil
	}
	var whole sitestate.Update
	if err := wire.UnmarshalCompressed(a.Whole, maxWholeBytes, &whole); err != nil {
		return nil, eris.Wrap(err, "the whole state")
	}
	return []sitestate.Update{whole, a.Update}, nil
}
