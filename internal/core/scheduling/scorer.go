package scheduling

// Scorer rates a replica from 0, the worst, to 1.
type Scorer interface {
	// Name stands in decision records.
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

// LoadScorer prefers the least loaded replica, by Candidate.Load as a share of
// the limit.
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

// PrefixScorer prefers replicas that have cached the start of the prompt.
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

// otherZoneScore is the rating of a replica in another zone of the region.
const otherZoneScore = 0.5

// ZoneScorer prefers the own zone, then the own region.
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

// KVHeadroomScorer prefers replicas whose KV cache still has room when all
// that is in flight, and this request, have grown to their full length.
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

// clamp bounds a rating to 0..1. Plain comparisons cost less than the built-in
// min and max, which order NaN and signed zeros too.
func clamp(value float64) float64 {
	if value < 0 {
		return 0
	}
	if value > 1 {
		return 1
	}
	return value
}
