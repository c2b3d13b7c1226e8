package control

import "fmt"

// Methods that members serve to each other, besides those of controlclient.
const (
	// methodReadIndex asks the leader for a position to read at.
	methodReadIndex = "member.read_index"
	// methodChangeMember takes an operatorapi.MemberChange to the leader.
	methodChangeMember = "member.change_member"
	// methodFounding asks a member whether the group has been founded.
	methodFounding = "member.founding"
)

// readIndexAnswer is a position that shows every change accepted before.
type readIndexAnswer struct {
	Index uint64 `cbor:"1,keyasint"`
}

func memberName(id uint64) string { return fmt.Sprintf("member-%d", id) }
