package groupmember_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

var diskLossSeeds = flag.Uint64("diskloss-seeds", 96, "number of seeds of the simulation of disks lost in turn")

const (
	// catchUpTicks is the time for which a machine counts as lost after its return, 4.7 s.
	catchUpTicks = 79
	// diskLosses is the number of disks lost in one run.
	diskLosses = 4
	// promotionAgeTicks bounds how long before its promotion a voter that the quorum grows by
	// had the log: a heartbeat, and the message that reports the position.
	promotionAgeTicks = 2*heartbeatTicks + 4
)

// lossRun is one run in which disks are lost in turn. At most as many machines count as lost
// as the group tolerates when a disk is lost; a machine counts as lost while it is stopped or
// isolated, and for catchUpTicks afterwards.
type lossRun struct {
	*harness
	// keepID lets a machine that lost its disk run under its old id.
	keepID bool
	// commits has the leader's commit index of each recent tick, and voters its last membership.
	commits []uint64
	leads   *machine
	voters  []consensus.MemberID
	// lostUntil is the tick at which the last machine that was lost returned.
	lostUntil int
	// grown counts the promotions by which the quorum grew, unlogged those of a machine without
	// the log where it did not.
	grown, unlogged int
}

// variant is a setting of the simulation, by seed.
type variant struct {
	voters, machines int
	// loss is the share of packets that are lost; datagrams are lost and overtake each other,
	// connections are held up.
	loss      float64
	datagrams bool
	// entryPackets is the number of packets of a log entry. Larger ones would overload the
	// links in the simulation.
	entryPackets int
	// snapshots are taken often and sent in many chunks.
	snapshots bool
}

func variantOf(seed uint64) variant {
	v := variant{voters: 3, machines: 3, datagrams: seed%4 == 3, snapshots: seed%2 == 1}
	v.loss, v.entryPackets = []float64{0.025, 0.05, 0}[seed/4%3], []int{4, 2, 4}[seed/4%3]
	switch seed / 12 % 4 {
	case 1:
		v.machines = 4
	case 2:
		v.voters, v.machines = 5, 5
	case 3:
		v.voters, v.machines = 5, 6
	}
	return v
}

func newLossRun(t reporter, seed uint64, configure func(*lossRun)) *lossRun {
	v := variantOf(seed)
	h := newHarness(t, seed, v.machines, v.voters)
	h.limits.MinVoters = v.voters
	r := &lossRun{harness: h}
	if v.snapshots {
		h.snapshotEntries, h.chunkBytes, h.saveTicks, h.releaseData = 15, 64, 4, true
	}
	if v.datagrams {
		h.loss = v.loss
	} else {
		h.connections = newConnections(rand.New(rand.NewPCG(seed, 8)), v.loss, v.entryPackets)
	}
	configure(r)
	return r
}

// step runs one tick and checks what must always hold.
func (r *lossRun) step() {
	r.tick()
	leader := r.leader()
	if leader == nil {
		return
	}
	r.checkGrowth(leader)
	r.checkAcknowledged(leader)
}

// checkGrowth fails if the quorum has grown by a voter that lacked the log.
func (r *lossRun) checkGrowth(leader *machine) {
	status := leader.member.Status()
	voters := status.Membership.Voters
	if leader == r.leads && len(voters) == len(r.voters)+1 {
		added := voters[slices.IndexFunc(voters, func(id consensus.MemberID) bool { return !slices.Contains(r.voters, id) })]
		m := r.machineOf(added)
		floor := r.commits[max(0, len(r.commits)-promotionAgeTicks)]
		hasLog := m != nil && m.disk.last() >= floor
		switch {
		case len(voters)/2 == len(r.voters)/2 && !hasLog:
			r.unlogged++
		case len(voters)/2 == len(r.voters)/2:
		case m != nil && !hasLog:
			r.t.Fatalf("tick %d: the quorum grew by member %d, whose log ends at %d; %d were committed", r.now, added, m.disk.last(), floor)
		default:
			r.grown++
		}
	}
	if leader != r.leads {
		r.commits = nil
	}
	r.leads, r.voters, r.commits = leader, voters, append(r.commits, status.Commit)
}

// checkAcknowledged fails if a leader lacks an acknowledged command: its reads would be older
// than what was acknowledged.
func (r *lossRun) checkAcknowledged(leader *machine) {
	const window = 20 // the rest is checked at the end of the run
	for _, number := range r.acknowledgedNumbers[max(0, len(r.acknowledgedNumbers)-window):] {
		if !slices.Contains(leader.state.numbers, number) {
			r.t.Fatalf("tick %d: leader %d lacks acknowledged command %d", r.now, leader.id, number)
		}
	}
}

// lose stops a machine for a while and empties its disk.
func (r *lossRun) lose(m *machine) {
	id, founders := m.id, m.founders
	r.stop(m, 5+r.random.IntN(15))
	r.wipe(m)
	if r.keepID {
		m.id, m.founders = id, founders
	}
	r.lostUntil = max(r.lostUntil, m.downUntil)
}

// interrupt stops a machine without harm to its disk, or isolates it.
func (r *lossRun) interrupt(m *machine) {
	if r.random.IntN(2) == 0 {
		r.stop(m, 1+r.random.IntN(20))
		r.lostUntil = max(r.lostUntil, m.downUntil)
		return
	}
	m.isolatedUntil = r.now + 5 + r.random.IntN(40)
	r.lostUntil = max(r.lostUntil, m.isolatedUntil)
}

// victim returns the machine whose disk is lost next: the leader, any other one, or the one that
// holds the log for the longest time.
func (r *lossRun) victim() *machine {
	live := r.liveMachines()
	leader := r.leader()
	switch r.random.IntN(3) {
	case 0:
		if leader != nil {
			return leader
		}
	case 1:
		return slices.MinFunc(live, func(a, b *machine) int { return a.wiped - b.wiped })
	}
	return live[r.random.IntN(len(live))]
}

// play loses disks in turn and checks the group at the end.
func (r *lossRun) play(seed uint64) {
	for range 150 {
		r.step()
	}
	for range diskLosses {
		lost := r.victim()
		r.lose(lost)
		r.disturb(lost)
		for r.now < r.lostUntil+catchUpTicks {
			r.step()
		}
	}
	r.mustRecover(seed)
}

// mustRecover ends all faults and checks the group.
func (r *lossRun) mustRecover(seed uint64) {
	if r.connections != nil {
		r.connections.loss = 0
	}
	r.loss = 0
	before := len(r.acknowledgedNumbers)
	for range 300 {
		r.step()
	}
	r.check()
	leader := r.leader()
	switch {
	case leader == nil:
		r.t.Fatalf("seed %d: no leader after all faults", seed)
	case len(leader.member.Status().Membership.Voters) != r.limits.Voters:
		r.t.Fatalf("seed %d: voters %v", seed, leader.member.Status().Membership.Voters)
	case len(r.acknowledgedNumbers) == before:
		r.t.Fatalf("seed %d: no command acknowledged after all faults", seed)
	}
}

// disturb adds faults while the machine that lost its disk returns: it is killed half-way, loses
// its disk again, or another machine is interrupted and comes back with what it had.
func (r *lossRun) disturb(lost *machine) {
	for range r.random.IntN(3) {
		for range 10 + r.random.IntN(50) {
			r.step()
		}
		switch r.random.IntN(4) {
		case 0:
			r.interrupt(lost)
		case 1:
			r.lose(lost)
		case 2, 3:
			live := r.liveMachines()
			r.interrupt(live[r.random.IntN(len(live))])
		}
	}
}

// Disks lost in turn, at the distance that the group tolerates, on links that lose packets, must
// cost no acknowledged command and no quorum. A group of three once stood with two voters until
// the successor of the third had the log, and ended with the next lost disk.
func TestDisksLostInTurn(t *testing.T) {
	t.Parallel()
	const workers = 8
	grown, unlogged := make([]int, workers), make([]int, workers)
	t.Run("seeds", func(t *testing.T) {
		for worker := range uint64(workers) {
			t.Run(fmt.Sprint(worker), func(t *testing.T) {
				t.Parallel()
				for seed := worker; seed < *diskLossSeeds; seed += workers {
					if violation, r := playLosses(seed, func(*lossRun) {}); violation != "" {
						t.Errorf("seed %d, %+v: %s", seed, variantOf(seed), violation)
					} else {
						grown[worker] += r.grown
						unlogged[worker] += r.unlogged
					}
				}
			})
		}
	})
	sum := func(counts []int) (total int) {
		for _, count := range counts {
			total += count
		}
		return total
	}
	t.Logf("%d seeds: the quorum grew %d times, a voter without the log was added %d times", *diskLossSeeds, sum(grown), sum(unlogged))
	if sum(unlogged) == 0 {
		t.Error("no voter without the log was added, so the test proves nothing about it")
	}
}

// The checks of TestDisksLostInTurn find what they guard against: a machine that votes under its
// old id without its log loses acknowledged commands, promotions that skip the log grow the
// quorum by a member that lacks it, and a third voter that waits for the log leaves a group
// without a quorum.
func TestDiskLossChecksFindViolations(t *testing.T) {
	t.Parallel()
	const seeds = 96
	for name, configure := range map[string]func(*lossRun){
		"old id without its log": func(r *lossRun) { r.keepID = true },
		"promotion skips the log": func(r *lossRun) {
			r.ignoreLog, r.safeguards = true, consensus.Safeguards{NoCatchUpRule: true}
		},
		"third voter waits for the log": func(r *lossRun) {
			if r.connections != nil {
				r.connections.entryPackets *= 3 // the log takes longer
			}
			r.awaitLog = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := 0
			var example string
			for seed := range uint64(seeds) {
				if violation, _ := playLosses(seed, configure); violation != "" {
					found++
					example = violation
				}
			}
			t.Logf("%d of %d seeds: %s", found, seeds, example)
			if found == 0 {
				t.Error("no violation found")
			}
		})
	}
}

// violation ends a run of a recorder.
type violation string

// recorder is a reporter whose failures end the run and are returned by playLosses.
type recorder struct{}

func (recorder) Helper()             {}
func (recorder) Logf(string, ...any) {}
func (recorder) Fatalf(format string, arguments ...any) {
	panic(violation(fmt.Sprintf(format, arguments...)))
}

// playLosses plays a seed of disks lost in turn and returns the first violation, or "".
func playLosses(seed uint64, configure func(*lossRun)) (found string, r *lossRun) {
	return playRun(seed, configure, (*lossRun).play)
}

// playRun plays a seed and returns the first violation, or "".
func playRun(seed uint64, configure func(*lossRun), play func(*lossRun, uint64)) (found string, r *lossRun) {
	defer func() {
		switch reason := recover().(type) {
		case nil:
		case violation:
			found = string(reason)
		default:
			panic(reason)
		}
	}()
	r = newLossRun(recorder{}, seed, configure)
	play(r, seed)
	return "", r
}
