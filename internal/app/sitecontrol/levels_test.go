package sitecontrol

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// A member without a recent report, such as one of an earlier build, limits the level.
func TestCommonLevel(t *testing.T) {
	now := time.Now()
	published := &group.PublishedState{}
	published.Status.ID = 1
	published.Records = []groupmember.Record{{ID: 1}, {ID: 2}, {ID: 3}}
	for name, row := range map[string]struct {
		reported map[consensus.MemberID]reportedLevel
		want     sitestate.Level
	}{
		"no reports":               {nil, sitestate.LevelFirst},
		"one report missing":       {map[consensus.MemberID]reportedLevel{2: {sitestate.LevelNewest, now}}, sitestate.LevelFirst},
		"all reported":             {map[consensus.MemberID]reportedLevel{2: {sitestate.LevelNewest, now}, 3: {sitestate.LevelNewest, now}}, sitestate.LevelNewest},
		"one report expired":       {map[consensus.MemberID]reportedLevel{2: {sitestate.LevelNewest, now}, 3: {sitestate.LevelNewest, now.Add(-time.Hour)}}, sitestate.LevelFirst},
		"one supports less":        {map[consensus.MemberID]reportedLevel{2: {sitestate.LevelFirst, now}, 3: {sitestate.LevelNewest, now}}, sitestate.LevelFirst},
		"one supports newer level": {map[consensus.MemberID]reportedLevel{2: {sitestate.LevelNewest + 1, now}, 3: {sitestate.LevelNewest, now}}, sitestate.LevelNewest},
	} {
		negotiated := newLevels()
		for id, reported := range row.reported {
			negotiated.record(id, reported.level, reported.at)
		}
		if got := negotiated.common(published, now); got != row.want {
			t.Errorf("%s: level %d, want %d", name, got, row.want)
		}
	}
}
