package groupmember

import "github.com/loomgrade/loomgrade/internal/core/consensus"

// Obstacle is what a membership change that a group needs waits for.
type Obstacle uint8

const (
	// ObstacleNone means that no change is needed.
	ObstacleNone Obstacle = iota
	// ObstacleNoMachine means that no machine has joined that could become a voter.
	ObstacleNoMachine
	// ObstacleNoAnswer means that the machine that could become a voter does not answer.
	ObstacleNoAnswer
	// ObstacleLacksLog means that a learner is needed as a voter and does not have the log.
	ObstacleLacksLog
	// ObstacleSmallQuorum means that the removal of a voter that lost its disk would leave a
	// quorum too small to survive the tolerated losses.
	ObstacleSmallQuorum
	// ObstacleFewHealthy means that too few other voters have the log for a machine to leave.
	ObstacleFewHealthy
)

var obstacleNames = [...]string{"none", "no machine has joined", "the new member does not answer", "the new member lacks the log",
	"the quorum would be too small", "too few other voters have the log"}

// String returns the obstacle for log lines.
func (o Obstacle) String() string {
	if int(o) < len(obstacleNames) {
		return obstacleNames[o]
	}
	return "unknown"
}

// Waiting returns what holds up the next change of a group for which Plan returns none.
func Waiting(status consensus.Status, records []Record, leaving map[string]bool, limits Limits) Obstacle {
	group := newGroupView(status, records, leaving, limits)
	_, superseded := group.find(func(m member) bool { return m.voter && m.superseded })
	_, drained := group.find(func(m member) bool { return m.leaving })
	_, unreachable := group.find(func(m member) bool { return m.voter && !m.self && m.ticksSinceContact >= limits.ReplaceTicks })
	switch {
	case superseded:
		return ObstacleSmallQuorum
	case group.voters() < limits.Voters || unreachable:
		return group.missingVoter()
	case drained:
		return ObstacleFewHealthy
	}
	return ObstacleNone
}

// missingVoter returns what a missing voter waits for.
func (g *groupView) missingVoter() Obstacle {
	lagging := func(m member) bool { return !m.voter && !m.leaving && !m.superseded && !m.caughtUp }
	if g.count(lagging) == 0 {
		return ObstacleNoMachine
	}
	if g.count(func(m member) bool { return lagging(m) && mayAddVote(m) }) == 0 {
		return ObstacleNoAnswer
	}
	return ObstacleLacksLog
}
