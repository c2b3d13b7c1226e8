package standin

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Scorer simulates a scoring service. Rewards are deterministic, between 0 and 1.
type Scorer struct {
	*server
	config ScorerConfig
}

// ScorerConfig describes a scoring service.
type ScorerConfig struct {
	Common
	// ServiceTime is the time that scoring takes. Default 10 ms.
	ServiceTime time.Duration
}

// rewardSteps is the number of steps between the lowest and the highest reward.
const rewardSteps = 1000

// RewardOf returns the reward of a text for a prompt.
func RewardOf(prompt, text string) float64 {
	return float64(xxhash.Sum64String(prompt+"\x00"+text)%(rewardSteps+1)) / rewardSteps
}

// StartScorer starts a scoring service. It runs until ctx ends or Close is
// called.
func StartScorer(ctx context.Context, config ScorerConfig) (*Scorer, error) {
	config.ServiceTime = cmp.Or(config.ServiceTime, 10*time.Millisecond)
	s := &Scorer{config: config}
	s.server = newServer(ctx, config.Common, FaultCrash, FaultHang, FaultSlow, FaultRefuse, FaultCut, FaultLate)
	s.inject = s.injectFault
	s.mux.HandleFunc("POST "+api.PathScore, s.handleScore)
	if err := s.listen(config.Listen); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Scorer) injectFault(fault Fault) error {
	if fault.Kind == FaultCrash {
		s.crash(fault.Duration(), func() {}, func() {})
		return nil
	}
	return s.faults.set(fault)
}

func (s *Scorer) handleScore(w http.ResponseWriter, r *http.Request) {
	if s.applyFaults(w, r) {
		return
	}
	var score api.Score
	if !readJSON(w, r, &score) {
		return
	}
	wait := time.Duration(float64(s.config.ServiceTime) * s.faults.slowdown())
	if fault, late := s.faults.consume(FaultLate); late {
		wait += fault.Duration()
	}
	if !sleep(r.Context(), wait) {
		return
	}
	if _, cut := s.faults.consume(FaultCut); cut {
		_, _ = w.Write([]byte(`{"sample_id":`))
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	writeJSON(w, api.Reward{SampleID: score.SampleID, Reward: RewardOf(score.Prompt, score.Text)})
}
