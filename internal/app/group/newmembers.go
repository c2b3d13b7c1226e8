package group

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// waitingLogTicks is how long a membership change must wait before it is logged; most wait for
// a message or two.
const waitingLogTicks = 30

// newMember is a member that lacked the log when its leader first knew it. Times are ticks.
type newMember struct {
	knownAt int64
	// voterAt is when it was first seen as a voter, 0 before.
	voterAt int64
}

// observeMembers tracks the new members of a leader, and logs those that have the complete log.
// On any other member it discards what was tracked.
func (l *loop) observeMembers(status consensus.Status) {
	if !l.member.IsLeader() {
		l.newMembers, l.obstacle = nil, groupmember.ObstacleNone
		return
	}
	for _, peer := range status.Progress {
		l.observeMember(status, peer)
	}
	for id := range l.newMembers {
		if !status.Membership.Contains(id) {
			delete(l.newMembers, id)
		}
	}
}

func (l *loop) observeMember(status consensus.Status, peer consensus.PeerStatus) {
	observed, known := l.newMembers[peer.ID]
	if !known {
		if peer.Match == 0 && peer.Learner {
			if l.newMembers == nil {
				l.newMembers = map[consensus.MemberID]newMember{}
			}
			l.newMembers[peer.ID] = newMember{knownAt: l.ticks}
		}
		return
	}
	if observed.voterAt == 0 && status.Membership.IsVoter(peer.ID) {
		observed.voterAt = l.ticks
		l.newMembers[peer.ID] = observed
	}
	if !peer.CaughtUp {
		return
	}
	delete(l.newMembers, peer.ID)
	line := l.config.Logger.Info().Str(eventlog.Field, eventlog.MemberCaughtUp).Str("group", l.config.Name).Uint32("shard", uint32(l.shard)).
		Uint64("member", uint64(peer.ID)).Dur("known", l.ticksSince(observed.knownAt)).Uint64("sent_bytes", peer.SentBytes).Uint64("repeated_bytes", peer.RepeatedBytes)
	if observed.voterAt > 0 {
		line = line.Dur("voter", l.ticksSince(observed.voterAt))
	}
	line.Msg("a new member has the complete log")
}

func (l *loop) ticksSince(tick int64) time.Duration {
	return time.Duration(l.ticks-tick) * l.config.Tick
}

// recordObstacle records what the next membership change waits for, and logs it once it has
// waited for waitingLogTicks.
func (l *loop) recordObstacle(obstacle groupmember.Obstacle) {
	if obstacle != l.obstacle {
		l.obstacle, l.obstacleSince, l.obstacleLogged = obstacle, l.ticks, false
	}
	if obstacle == groupmember.ObstacleNone || l.obstacleLogged || l.ticks-l.obstacleSince < waitingLogTicks {
		return
	}
	l.obstacleLogged = true
	l.config.Logger.Warn().Str(eventlog.Field, eventlog.MembershipWaiting).Str("group", l.config.Name).Uint32("shard", uint32(l.shard)).
		Str("reason", obstacle.String()).Msg("a membership change waits")
}
