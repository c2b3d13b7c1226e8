package scheduling

import (
	"math/rand/v2"
	"sync"

	"github.com/loomgrade/loomgrade/internal/port"
)

// recordedScores is the number of best replicas in a record.
const recordedScores = 3

// Result is the outcome of one decision.
type Result struct {
	// Chosen is the index of the chosen candidate; -1 if none passed.
	Chosen     int
	Considered int
	// Filtered counts the replicas that each filter dropped. It is set if a record was
	// requested or no replica was chosen.
	Filtered []port.FilterCount
	// Scores holds the best scores, if a record was requested.
	Scores []port.ReplicaScore
}

// Scheduler makes decisions by one profile. It is safe for concurrent use if each
// goroutine passes its own random source.
type Scheduler struct {
	profile Profile
	scratch sync.Pool
}

// scratch holds the buffers of one decision.
type scratch struct {
	scored  []Scored
	dropped []int
}

// New returns a scheduler for a profile, which must have a picker.
func New(profile Profile) *Scheduler {
	scheduler := &Scheduler{profile: profile}
	scheduler.scratch.New = func() any {
		return &scratch{dropped: make([]int, len(profile.Filters))}
	}
	return scheduler
}

// Profile returns the profile's name.
func (s *Scheduler) Profile() string { return s.profile.Name }

// Pick chooses a replica for the request.
func (s *Scheduler) Pick(request *Request, candidates []Candidate, random *rand.Rand) Result {
	work := s.scratch.Get().(*scratch)
	defer s.scratch.Put(work)
	work.scored = work.scored[:0]
	clear(work.dropped)

	for index := range candidates {
		if s.keep(request, &candidates[index], work.dropped) {
			score := s.score(request, &candidates[index])
			work.scored = append(work.scored, Scored{Index: index, Score: score})
		}
	}
	result := Result{Chosen: -1, Considered: len(candidates)}
	if len(work.scored) > 0 {
		position := s.profile.Picker.Pick(candidates, work.scored, random)
		result.Chosen = work.scored[position].Index
	}
	if request.Record || result.Chosen < 0 {
		result.Filtered = s.filterCounts(work.dropped)
	}
	if request.Record {
		result.Scores = s.bestScores(request, candidates, work.scored)
	}
	return result
}

// keep runs the filters and counts the one that dropped the replica.
func (s *Scheduler) keep(request *Request, candidate *Candidate, dropped []int) bool {
	for index, filter := range s.profile.Filters {
		if !filter.Keep(request, candidate) {
			dropped[index]++
			return false
		}
	}
	return true
}

// score returns the weighted sum of the scorers.
func (s *Scheduler) score(request *Request, candidate *Candidate) float64 {
	total := 0.0
	for _, weighted := range s.profile.Scorers {
		total += weighted.Weight * weighted.Scorer.Score(request, candidate)
	}
	return total
}

// filterCounts returns the filters that dropped at least one replica.
func (s *Scheduler) filterCounts(dropped []int) []port.FilterCount {
	var counts []port.FilterCount
	for index, count := range dropped {
		if count > 0 {
			counts = append(counts, port.FilterCount{Filter: s.profile.Filters[index].Name(), Count: count})
		}
	}
	return counts
}

// bestScores returns the best scores with their parts.
func (s *Scheduler) bestScores(request *Request, candidates []Candidate, scored []Scored) []port.ReplicaScore {
	best := topScored(scored, recordedScores)
	scores := make([]port.ReplicaScore, 0, len(best))
	for _, entry := range best {
		candidate := &candidates[entry.Index]
		parts := make([]port.ScorePart, 0, len(s.profile.Scorers))
		for _, weighted := range s.profile.Scorers {
			value := weighted.Weight * weighted.Scorer.Score(request, candidate)
			parts = append(parts, port.ScorePart{Scorer: weighted.Scorer.Name(), Value: value})
		}
		scores = append(scores, port.ReplicaScore{Replica: candidate.Replica, Total: entry.Score, Parts: parts})
	}
	return scores
}

// topScored returns up to count entries with the highest scores, best first.
func topScored(scored []Scored, count int) []Scored {
	best := make([]Scored, 0, count+1)
	for _, entry := range scored {
		position := len(best)
		for position > 0 && best[position-1].Score < entry.Score {
			position--
		}
		if position == count {
			continue
		}
		best = append(best, Scored{})
		copy(best[position+1:], best[position:])
		best[position] = entry
		best = best[:min(len(best), count)]
	}
	return best
}
