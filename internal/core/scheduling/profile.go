package scheduling

// WeightedScorer is a scorer with its share of the total.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Profile is the full recipe of a decision. Filters run in order, and the
// first one that drops a replica is the one that is counted.
type Profile struct {
	Name    string
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// Names of the profiles; those after the first two are baselines.
const (
	ProfileGeneration    = "generation"
	ProfileApplication   = "application"
	ProfileRoundRobin    = "round-robin"
	ProfileRandom        = "random"
	ProfileLeastInflight = "least-inflight"
	ProfileTwoChoices    = "two-choices"
)

// DefaultBlockTokens is the number of tokens in a KV cache block of the
// common engines.
const DefaultBlockTokens = 16

// Weights of the generation profile's scorers.
const (
	weightLoad       = 3
	weightPrefix     = 2
	weightKVHeadroom = 1
	weightZone       = 0.25
)

// correctnessFilters are those that no profile may leave out: each keeps a
// promise, not a preference.
func correctnessFilters() []Filter {
	return []Filter{
		Leaving{}, Draining{}, Health{}, Version{}, Role{}, Adapter{}, Excluded{}, Limit{},
	}
}

// Generation is the profile for model engines.
func Generation() Profile {
	return Profile{
		Name:    ProfileGeneration,
		Filters: correctnessFilters(),
		Scorers: []WeightedScorer{
			{LoadScorer{}, weightLoad},
			{PrefixScorer{}, weightPrefix},
			{KVHeadroomScorer{BlockTokens: DefaultBlockTokens}, weightKVHeadroom},
			{ZoneScorer{}, weightZone},
		},
		Picker: HighestScore{},
	}
}

// Application is the profile for short calls to application back ends.
func Application() Profile {
	return Profile{
		Name:    ProfileApplication,
		Filters: correctnessFilters(),
		Scorers: []WeightedScorer{{ZoneScorer{}, 1}},
		Picker:  ShortestOfTwo{},
	}
}

// Baseline gives one of the plain profiles for comparison in experiments. They
// keep the filters and differ in the choice only; false means no such name.
func Baseline(name string) (Profile, bool) {
	profile := Profile{Name: name, Filters: correctnessFilters()}
	switch name {
	case ProfileRoundRobin:
		profile.Picker = &RoundRobin{}
	case ProfileRandom:
		profile.Picker = Random{}
	case ProfileLeastInflight:
		profile.Picker = LeastInflight{}
	case ProfileTwoChoices:
		profile.Picker = TwoChoices{}
	default:
		return Profile{}, false
	}
	return profile, true
}

// Named gives any profile by its name, or false.
func Named(name string) (Profile, bool) {
	switch name {
	case ProfileGeneration:
		return Generation(), true
	case ProfileApplication:
		return Application(), true
	default:
		return Baseline(name)
	}
}
