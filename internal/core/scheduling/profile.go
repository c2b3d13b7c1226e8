package scheduling

// WeightedScorer is a scorer with its weight in the total.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Profile configures a decision. Filters run in order; a dropped replica is counted
// under the first filter that drops it.
type Profile struct {
	Name    string
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// Names of the profiles. All but the first two are baselines for experiments.
const (
	ProfileGeneration    = "generation"
	ProfileApplication   = "application"
	ProfileRoundRobin    = "round-robin"
	ProfileRandom        = "random"
	ProfileLeastInflight = "least-inflight"
	ProfileTwoChoices    = "two-choices"
)

// DefaultBlockTokens is the number of tokens in a KV cache block of common engines.
const DefaultBlockTokens = 16

// Weights of the generation profile's scorers.
const (
	weightLoad       = 3
	weightPrefix     = 2
	weightKVHeadroom = 1
	weightZone       = 0.25
)

// requiredFilters returns the filters that every profile must have for correctness.
func requiredFilters() []Filter {
	return []Filter{
		Leaving{}, Draining{}, Health{}, Version{}, Role{}, Adapter{}, Excluded{}, Limit{},
	}
}

// Generation returns the profile for model engines.
func Generation() Profile {
	return Profile{
		Name:    ProfileGeneration,
		Filters: requiredFilters(),
		Scorers: []WeightedScorer{
			{LoadScorer{}, weightLoad},
			{PrefixScorer{}, weightPrefix},
			{KVHeadroomScorer{BlockTokens: DefaultBlockTokens}, weightKVHeadroom},
			{ZoneScorer{}, weightZone},
		},
		Picker: HighestScore{},
	}
}

// Application returns the profile for short calls to application back ends.
func Application() Profile {
	return Profile{
		Name:    ProfileApplication,
		Filters: requiredFilters(),
		Scorers: []WeightedScorer{{ZoneScorer{}, 1}},
		Picker:  LowerLatencyOfTwo{},
	}
}

// Baseline returns a baseline profile for experiments, which has the required filters
// but no scorers. It reports false for an unknown name.
func Baseline(name string) (Profile, bool) {
	profile := Profile{Name: name, Filters: requiredFilters()}
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

// ProfileByName returns the profile with a name. It reports false for an unknown name.
func ProfileByName(name string) (Profile, bool) {
	switch name {
	case ProfileGeneration:
		return Generation(), true
	case ProfileApplication:
		return Application(), true
	default:
		return Baseline(name)
	}
}
