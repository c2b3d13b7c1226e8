package siteview

import (
	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// MethodWatch accepts a WatchRequest and streams WatchAnswers.
const MethodWatch = "site.watch"

// maxPackedBytes limits the unpacked size of a packed update. It is about ten times the size of
// a full view of 3,500 replicas of 250 bytes each.
const maxPackedBytes = 10 << 20

// WatchRequest starts a watch after a position; 0 requests the full state.
type WatchRequest struct {
	After uint64 `cbor:"1,keyasint"`
	// Interest selects the changes to send. It must not change during a watch: earlier
	// changes would be missing.
	Interest sitestate.Interest `cbor:"2,keyasint,omitempty"`
}

// WatchAnswer is a message of a watch.
type WatchAnswer struct {
	// Packed is an optional sitestate.Update to apply before Update, with the state at an
	// earlier position or many changes. It is packed once for all watchers.
	Packed []byte           `cbor:"1,keyasint,omitempty"`
	Update sitestate.Update `cbor:"2,keyasint"`
}

// updates returns the updates in the order of their application.
func (a *WatchAnswer) updates() ([]sitestate.Update, error) {
	if len(a.Packed) == 0 {
		return []sitestate.Update{a.Update}, nil
	}
	var packed sitestate.Update
	if err := wire.UnmarshalCompressed(a.Packed, maxPackedBytes, &packed); err != nil {
		return nil, eris.Wrap(err, "cannot unpack the update")
	}
	return []sitestate.Update{packed, a.Update}, nil
}
