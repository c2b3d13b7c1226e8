package groupmember

import (
	"maps"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// Record holds the identity and addresses of a member.
type Record struct {
	ID consensus.MemberID `cbor:"1,keyasint"`
	// Address receives the group's messages (host:port).
	Address string `cbor:"2,keyasint"`
	// Name is the machine's name.
	Name string `cbor:"3,keyasint,omitempty"`
	// Incarnation is a random value generated for each empty data folder. A machine
	// that lost its disk returns with a new one.
	Incarnation string `cbor:"4,keyasint,omitempty"`
	// Service is the address at which the machine serves external calls, if it does.
	Service string `cbor:"5,keyasint,omitempty"`
}

// directory holds the records of the group's members by id.
type directory map[consensus.MemberID]Record

// list returns the records by ascending id.
func (d directory) list() []Record {
	records := make([]Record, 0, len(d))
	for _, id := range slices.Sorted(maps.Keys(d)) {
		records = append(records, d[id])
	}
	return records
}

func (d directory) replace(records []Record) {
	clear(d)
	for _, record := range records {
		d[record.ID] = record
	}
}
