package scheduling

// Scorer rates a replica from 0, the worst, to 1.
type Scorer interface {
	// Name is the scorer's name in decision records.
	Name() string
	// Score rates the replica for the request.
	Score(request *Request, candidate *Candidate) float64
}

// Names of the scorers in decision records.
const (
	ScorerLoad       = "load"
	ScorerPrefix     = "prefix"
	ScorerZone       = "zone"
	ScorerKVHeadroom = "kv headroom"
)

// LoadScorer prefers replicas with a low Candidate.Load relative to their limit.
type LoadScorer struct{}

// Name implements Scorer.
func (LoadScorer) Name() string { return ScorerLoad }

// Score implements Scorer.
func (LoadScorer) Score(_ *Request, candidate *Candidate) float64 {
	load := float64(candidate.Load())
	if candidate.Limit <= 0 {
		return 1 / (1 + load)
	}
	return clamp(1 - load/float64(candidate.Limit))
}

// PrefixScorer prefers replicas that have cached a prefix of the prompt.
type PrefixScorer struct{}

// Name implements Scorer.
func (PrefixScorer) Name() string { return ScorerPrefix }

// Score implements Scorer.
func (PrefixScorer) Score(request *Request, candidate *Candidate) float64 {
	if request.Prefix == nil || len(request.PrefixHashes) == 0 {
		return 0
	}
	matched := request.Prefix.Match(request.PrefixHashes, candidate.Replica)
	return clamp(float64(matched) / float64(len(request.PrefixHashes)))
}

// otherZoneScore is the score of a replica in another zone of the same region.
const otherZoneScore = 0.5

// ZoneScorer prefers the deciding node's zone, then its region.
type ZoneScorer struct{}

// Name implements Scorer.
func (ZoneScorer) Name() string { return ScorerZone }

// Score implements Scorer.
func (ZoneScorer) Score(request *Request, candidate *Candidate) float64 {
	switch {
	case candidate.Zone == request.Zone:
		return 1
	case candidate.Region == request.Region:
		return otherZoneScore
	default:
		return 0
	}
}

// KVHeadroomScorer prefers replicas with free KV cache after this request and all
// requests in flight have grown to their full length.
type KVHeadroomScorer struct {
	// BlockTokens is the number of tokens in a cache block.
	BlockTokens int
}

// Name implements Scorer.
func (KVHeadroomScorer) Name() string { return ScorerKVHeadroom }

// Score implements Scorer.
func (s KVHeadroomScorer) Score(request *Request, candidate *Candidate) float64 {
	if candidate.KVTotal <= 0 {
		return 1
	}
	tokens := request.PromptTokens + request.MaxTokens + candidate.InflightTokens
	needed := tokens / max(s.BlockTokens, 1)
	free := candidate.KVTotal - candidate.KVUsed - needed
	return clamp(float64(free) / float64(candidate.KVTotal))
}

// clamp limits a score to 0..1. Plain comparisons are cheaper than the built-in min and
// max, which handle NaN and signed zeros.
func clamp(value float64) float64 {
	if value < 0 {
		return 0
	}
	if value > 1 {
		return 1
	}
	return value
}
