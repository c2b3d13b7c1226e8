package sitecontrol

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// TestALevelIsThatOfAllMembers: one of an earlier build, which says nothing, keeps it down,
// and so does one that has been silent.
func TestCommonLevel(t *testing.T) {
	now := time.Now()
	shown := &group.PublishedState{}
	shown.Status.ID = 1
	shown.Records = []groupmember.Record{{ID: 1}, {ID: 2}, {ID: 3}}
	for name, row := range map[string]struct {
		told map[consensus.MemberID]toldLevel
		want sitestate.Level
	}{
		"nobody said":              {nil, sitestate.LevelFirst},
		"one said nothing":         {map[consensus.MemberID]toldLevel{2: {sitestate.LevelNewest, now}}, sitestate.LevelFirst},
		"all said":                 {map[consensus.MemberID]toldLevel{2: {sitestate.LevelNewest, now}, 3: {sitestate.LevelNewest, now}}, sitestate.LevelNewest},
		"one said it long ago":     {map[consensus.MemberID]toldLevel{2: {sitestate.LevelNewest, now}, 3: {sitestate.LevelNewest, now.Add(-time.Hour)}}, sitestate.LevelFirst},
		"one knows less":           {map[consensus.MemberID]toldLevel{2: {sitestate.LevelFirst, now}, 3: {sitestate.LevelNewest, now}}, sitestate.LevelFirst},
		"one knows more than this": {map[consensus.MemberID]toldLevel{2: {sitestate.LevelNewest + 1, now}, 3: {sitestate.LevelNewest, now}}, sitestate.LevelNewest},
	} {
		known := newLevels()
		for id, told := range row.told {
			known.note(id, told.level, told.at)
		}
		if got := known.common(shown, now); got != row.want {
			t.Errorf("%s: level %d, want %d", name, got, row.want)
		}
	}
}
