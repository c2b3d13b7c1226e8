package node

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/port"
)

func TestViewNeverGoesBack(t *testing.T) {
	pool := port.Pool{Name: "pool"}
	base := &port.View{Position: 10, Term: 2, Revision: 4}
	cases := []struct {
		name         string
		update       port.ViewUpdate
		wantPosition uint64
		wantUsable   bool
		wantPools    int
	}{
		{"older changes", port.ViewUpdate{After: 5, Position: 9, Changes: []port.ViewChange{{Edit: &port.Edit{PutPool: &pool}}}}, 10, false, 0},
		{"older snapshot", port.ViewUpdate{Position: 12, Full: &port.View{Position: 9}}, 10, false, 0},
		{"gap", port.ViewUpdate{After: 11, Position: 12}, 10, false, 0},
		{"heartbeat", port.ViewUpdate{After: 10, Position: 10}, 10, true, 0},
		{"next change", port.ViewUpdate{After: 10, Position: 11, Revision: 5, Changes: []port.ViewChange{{Edit: &port.Edit{PutPool: &pool}}}}, 11, true, 1},
		{"snapshot", port.ViewUpdate{Position: 20, Full: &port.View{Position: 20, Configuration: port.Configuration{Pools: []port.Pool{pool}}}}, 20, true, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			next, usable := advance(base, testCase.update)
			if usable != testCase.wantUsable || next.Position != testCase.wantPosition || len(next.Configuration.Pools) != testCase.wantPools {
				t.Errorf("usable %v, position %d, pools %d", usable, next.Position, len(next.Configuration.Pools))
			}
			if base.Position != 10 || len(base.Configuration.Pools) != 0 {
				t.Error("the earlier view was changed")
			}
		})
	}
}
