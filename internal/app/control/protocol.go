package control

import "fmt"

// Methods that members serve to each other, in addition to those of controlclient.
const (
	// methodReadIndex requests a read index from the leader.
	methodReadIndex = "member.read_index"
	// methodChangeMember forwards an operatorapi.MemberChange to the leader.
	methodChangeMember = "member.change_member"
	// methodBootstrap requests whether the group has been bootstrapped.
	methodBootstrap = "member.founding"
)

// readIndexAnswer holds the log index that a read must wait for.
type readIndexAnswer struct {
	Index uint64 `cbor:"1,keyasint"`
}

func memberName(id uint64) string { return fmt.Sprintf("member-%d", id) }
