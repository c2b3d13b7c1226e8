package experiment

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// Settings is the content of an experiment file.
type Settings struct {
	Name string `yaml:"name" json:"name"`
	// Site is inkwell or marea; Overrides changes parts of it for every variant.
	Site      string    `yaml:"site" json:"site"`
	Overrides Overrides `yaml:"overrides,omitempty" json:"overrides,omitzero"`
	// Length is the virtual time of a run. Figures exclude the first WarmUp of it.
	Length settings.Duration `yaml:"length" json:"length"`
	WarmUp settings.Duration `yaml:"warm_up" json:"warm_up"`
	// Seeds is the number of seeds; they count from 1.
	Seeds int `yaml:"seeds" json:"seeds"`
	// Confidence is the confidence level of all intervals. Default 0.95.
	Confidence float64 `yaml:"confidence,omitempty" json:"confidence"`
	// Reference is the variant that the others are compared with. Default: the last one.
	Reference string    `yaml:"reference,omitempty" json:"reference"`
	Variants  []Variant `yaml:"variants" json:"variants"`
	Sweeps    []Sweep   `yaml:"sweeps,omitempty" json:"sweeps,omitempty"`
	Bars      []Bar     `yaml:"bars,omitempty" json:"bars,omitempty"`
}

// Variant is a configuration of the routing under test.
type Variant struct {
	Name    string      `yaml:"name" json:"name"`
	Routing sim.Routing `yaml:"routing" json:"routing"`
	// Policy is the file of a policy program, relative to the experiment file unless
	// absolute. If empty, the policy of the site is used.
	Policy string `yaml:"policy,omitempty" json:"policy,omitempty"`
	// Without disables at most one part, so that a difference has one cause.
	Without []sim.Part `yaml:"without,omitempty" json:"without,omitempty"`

	// ImportKV transfers the KV cache of a long sample that is moved.
	ImportKV bool `yaml:"import_kv,omitempty" json:"import_kv,omitempty"`

	// policySource is the content of Policy.
	policySource string
}

// Baseline reports whether the variant doesn't use loomgrade's routing.
func (v Variant) Baseline() bool { return v.Routing != sim.RoutingLoomgrade }

// Sweep repeats variants with different values of one override.
type Sweep struct {
	// Setting is the key of an override, such as engine.step_base.
	Setting string   `yaml:"setting" json:"setting"`
	Values  []string `yaml:"values" json:"values"`
	// Variants lists the variants to repeat. Default: all.
	Variants []string `yaml:"variants,omitempty" json:"variants,omitempty"`
	// Seeds is the number of seeds. Default: that of the experiment.
	Seeds int `yaml:"seeds,omitempty" json:"seeds,omitempty"`
}

// Bar is a condition on the results. It compares the mean of a figure, for which lower
// is better, with the lowest mean of the baselines or with the limit.
type Bar struct {
	Figure  string `yaml:"figure" json:"figure"`
	Variant string `yaml:"variant" json:"variant"`
	// Against is best_baseline or limit.
	Against Opponent `yaml:"against" json:"against"`
	// AtMost is the maximum ratio of the variant's figure to the other.
	AtMost float64 `yaml:"at_most" json:"at_most"`
	// Throughput, if over 0, is the minimum ratio of the variant's samples per hour to
	// those of the same baseline.
	Throughput float64 `yaml:"throughput,omitempty" json:"throughput,omitempty"`
}

// Opponent is what a bar compares a variant with.
type Opponent string

// Values of Opponent.
const (
	AgainstBestBaseline Opponent = "best_baseline"
	AgainstLimit        Opponent = "limit"
)

// maxFileBytes limits the size of experiment and policy files.
const maxFileBytes = 1 << 20

const defaultConfidence = 0.95

// Load reads an experiment file and the policy programs that it refers to.
func Load(path string) (*Settings, error) {
	content, err := readLimited(path)
	if err != nil {
		return nil, err
	}
	experiment, err := Parse(path, content)
	if err != nil {
		return nil, err
	}
	for index := range experiment.Variants {
		variant := &experiment.Variants[index]
		if variant.Policy == "" {
			continue
		}
		policy := variant.Policy
		if !filepath.IsAbs(policy) {
			policy = filepath.Join(filepath.Dir(path), policy)
		}
		source, err := readLimited(policy)
		if err != nil {
			return nil, eris.Wrapf(err, "variant %s", variant.Name)
		}
		variant.policySource = string(source)
	}
	return experiment, nil
}

// Parse parses an experiment file; path is used only in error messages. It doesn't read
// policy programs.
func Parse(path string, content []byte) (*Settings, error) {
	var experiment Settings
	check := func() []*settings.Error {
		experiment.applyDefaults()
		return experiment.check()
	}
	if err := settings.Decode(path, content, &experiment, check); err != nil {
		return nil, err
	}
	return &experiment, nil
}

func readLimited(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrapf(err, "file %s", path)
	}
	if info.Size() > maxFileBytes {
		return nil, eris.Errorf("file %s: %d bytes, allowed: at most %d", path, info.Size(), maxFileBytes)
	}
	content, err := os.ReadFile(path)
	return content, eris.Wrapf(err, "file %s", path)
}

func (s *Settings) applyDefaults() {
	if s.Confidence == 0 {
		s.Confidence = defaultConfidence
	}
	if s.Reference == "" && len(s.Variants) > 0 {
		s.Reference = s.Variants[len(s.Variants)-1].Name
	}
}

// variant returns the variant with a name.
func (s *Settings) variant(name string) (Variant, bool) {
	for _, variant := range s.Variants {
		if variant.Name == name {
			return variant, true
		}
	}
	return Variant{}, false
}
