package experiment

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// Limits of settings.
const (
	minLength       = time.Second
	maxLength       = 30 * 24 * time.Hour
	maxEngines      = 100_000
	maxSamples      = 1_000_000
	maxTokens       = 10_000_000
	maxFactor       = 1000
	minConfidence   = 0.5
	maxConfidence   = 0.9999
	maxSweepValues  = 50
	maxPublishEvery = 1_000_000
)

// MaxSeeds is the maximum number of seeds.
const MaxSeeds = 1000

// namePattern matches valid names of experiments and variants, which are also used as
// folder names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameAllowed = "1 to 63 lower-case letters, digits and inner hyphens"

// routings and parts list the allowed values, in the order of messages.
var (
	routings = []sim.Routing{sim.RoutingRoundRobin, sim.RoutingRandom, sim.RoutingLeastInFlight, sim.RoutingLoomgrade}
	parts    = []sim.Part{
		sim.PartPrefixAffinity, sim.PartLongSamples, sim.PartStaging, sim.PartPriorities, sim.PartAdmission,
	}
)

// checker collects the errors of one file.
type checker struct{ errors []*settings.Error }

func (s *Settings) check() []*settings.Error {
	var c checker
	c.name("name", s.Name)
	if _, found := siteNamed(s.Site); !found {
		c.addError("site", s.Site, siteInkwell+" or "+siteMarea)
	}
	c.duration("length", s.Length, minLength, maxLength)
	c.duration("warm_up", s.WarmUp, 0, max(s.Length.Value()/2, 0))
	c.integer("seeds", s.Seeds, 1, MaxSeeds)
	c.number("confidence", s.Confidence, minConfidence, maxConfidence)
	c.overrides(s.Overrides)
	c.variants(s.Variants)
	c.reference(s)
	for index, sweep := range s.Sweeps {
		c.sweep(fmt.Sprintf("sweeps[%d]", index), s, sweep)
	}
	for index, bar := range s.Bars {
		c.bar(fmt.Sprintf("bars[%d]", index), s, bar)
	}
	c.mergedSite(s.Site, s.Overrides)
	return c.errors
}

func (c *checker) variants(variants []Variant) {
	if len(variants) == 0 {
		c.addError("variants", "", "at least one variant")
	}
	seen := map[string]bool{}
	for index, variant := range variants {
		key := fmt.Sprintf("variants[%d]", index)
		c.name(key+".name", variant.Name)
		if seen[variant.Name] {
			c.addError(key+".name", variant.Name, "a name that no other variant has")
		}
		seen[variant.Name] = true
		if !slices.Contains(routings, variant.Routing) {
			c.addError(key+".routing", string(variant.Routing), joinValues(routings))
		}
		c.disabledParts(key+".without", variant)
		if variant.ImportKV && variant.Baseline() {
			c.addError(key+".import_kv", "true", "false, unless routing is "+string(sim.RoutingLoomgrade))
		}
	}
}

// disabledParts allows at most one disabled part, and only for loomgrade's routing.
func (c *checker) disabledParts(key string, variant Variant) {
	if len(variant.Without) == 0 {
		return
	}
	value := joinValues(variant.Without)
	if variant.Baseline() {
		c.addError(key, value, "nothing, unless routing is "+string(sim.RoutingLoomgrade))
	}
	if len(variant.Without) > 1 {
		c.addError(key, value, "one part, so that a difference has one cause")
	}
	if !slices.Contains(parts, variant.Without[0]) {
		c.addError(key, value, joinValues(parts))
	}
}

// reference checks that the reference is a variant and that a variant with a disabled part
// uses the same policy.
func (c *checker) reference(s *Settings) {
	reference, found := s.variant(s.Reference)
	if !found {
		c.addError("reference", s.Reference, "the name of a variant")
		return
	}
	for index, variant := range s.Variants {
		if len(variant.Without) > 0 && variant.Policy != reference.Policy {
			c.addError(fmt.Sprintf("variants[%d].policy", index), variant.Policy,
				fmt.Sprintf("%q as in %s, so that the part switched off is the only difference", reference.Policy, reference.Name))
		}
	}
}

func (c *checker) sweep(key string, s *Settings, sweep Sweep) {
	setting, found := sweepable[sweep.Setting]
	if !found {
		c.addError(key+".setting", sweep.Setting, strings.Join(sweepableNames(), ", "))
	}
	if len(sweep.Values) == 0 || len(sweep.Values) > maxSweepValues {
		c.addError(key+".values", strconv.Itoa(len(sweep.Values))+" values", fmt.Sprintf("1 to %d values", maxSweepValues))
	}
	for index, value := range sweep.Values {
		if found && setting.set(&Overrides{}, value) != nil {
			c.addError(fmt.Sprintf("%s.values[%d]", key, index), value, setting.allowed)
		}
	}
	for index, name := range sweep.Variants {
		if _, found := s.variant(name); !found {
			c.addError(fmt.Sprintf("%s.variants[%d]", key, index), name, "the name of a variant")
		}
	}
	c.integer(key+".seeds", sweep.Seeds, 0, MaxSeeds)
}

func (c *checker) bar(key string, s *Settings, bar Bar) {
	if !slices.Contains(barFigures, bar.Figure) {
		c.addError(key+".figure", bar.Figure, strings.Join(barFigures, ", "))
	}
	if _, found := s.variant(bar.Variant); !found {
		c.addError(key+".variant", bar.Variant, "the name of a variant")
	}
	switch bar.Against {
	case AgainstLimit:
	case AgainstBestBaseline:
		if !slices.ContainsFunc(s.Variants, Variant.Baseline) {
			c.addError(key+".against", string(bar.Against), "limit, since no variant is a baseline")
		}
	default:
		c.addError(key+".against", string(bar.Against), string(AgainstBestBaseline)+" or "+string(AgainstLimit))
	}
	c.number(key+".at_most", bar.AtMost, 0, maxFactor)
	c.number(key+".throughput", bar.Throughput, 0, maxFactor)
}

func (c *checker) addError(key, value, allowed string) {
	c.errors = append(c.errors, &settings.Error{Key: key, Value: value, Allowed: allowed})
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.addError(key, value, nameAllowed)
	}
}

func (c *checker) duration(key string, value settings.Duration, low, high time.Duration) {
	if err := value.CheckRange(key, low, high); err != nil {
		c.errors = append(c.errors, err)
	}
}

// optionalDuration checks a duration if it is set.
func (c *checker) optionalDuration(key string, value settings.Duration, low, high time.Duration) {
	if !value.IsZero() {
		c.duration(key, value, low, high)
	}
}

func (c *checker) integer(key string, value, low, high int) {
	if value < low || value > high {
		c.addError(key, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) number(key string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.addError(key, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("%g to %g", low, high))
	}
}

// joinValues joins values for an error message.
func joinValues[T ~string](values []T) string {
	texts := make([]string, 0, len(values))
	for _, value := range values {
		texts = append(texts, string(value))
	}
	return strings.Join(texts, ", ")
}
