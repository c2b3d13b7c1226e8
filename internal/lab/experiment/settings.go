package experiment

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// Settings is a whole experiment file.
type Settings struct {
	Name string `yaml:"name" json:"name"`
	// Site is inkwell or marea; Overrides change parts of it for every variant.
	Site      string    `yaml:"site" json:"site"`
	Overrides Overrides `yaml:"overrides,omitempty" json:"overrides,omitzero"`
	// Length is the virtual time of a run; what happens before WarmUp is not
	// counted.
	Length settings.Duration `yaml:"length" json:"length"`
	WarmUp settings.Duration `yaml:"warm_up" json:"warm_up"`
	// Seeds is the number of seeds, from 1 on.
	Seeds int `yaml:"seeds" json:"seeds"`
	// Confidence is that of all intervals. Default 0.95.
	Confidence float64 `yaml:"confidence,omitempty" json:"confidence"`
	// Reference is the variant that the others are compared with. Default: the
	// last one.
	Reference string    `yaml:"reference,omitempty" json:"reference"`
	Variants  []Variant `yaml:"variants" json:"variants"`
	Sweeps    []Sweep   `yaml:"sweeps,omitempty" json:"sweeps,omitempty"`
	Bars      []Bar     `yaml:"bars,omitempty" json:"bars,omitempty"`
}

// Variant is one way to run the site.
type Variant struct {
	Name    string      `yaml:"name" json:"name"`
	Routing sim.Routing `yaml:"routing" json:"routing"`
	// Policy is the file of a policy program, relative to the experiment file
	// unless absolute;
	// empty keeps that of the site.
	Policy string `yaml:"policy,omitempty" json:"policy,omitempty"`
	// Without switches off at most one part, so that a difference has one cause.
	Without []sim.Part `yaml:"without,omitempty" json:"without,omitempty"`

	// ImportKV lets a long sample that is moved take its cache along.
	ImportKV bool `yaml:"import_kv,omitempty" json:"import_kv,omitempty"`

	// policySource is the content of Policy.
	policySource string
}

// Baseline says that the variant does without loomgrade's routing.
func (v Variant) Baseline() bool { return v.Routing != sim.RoutingLoomgrade }

// Sweep repeats variants with other values of one override.
type Sweep struct {
	// Setting is the key of an override, as engine.step_base.
	Setting string   `yaml:"setting" json:"setting"`
	Values  []string `yaml:"values" json:"values"`
	// Variants are those to repeat. Default: all.
	Variants []string `yaml:"variants,omitempty" json:"variants,omitempty"`
	// Seeds is the number of seeds. Default: that of the experiment.
	Seeds int `yaml:"seeds,omitempty" json:"seeds,omitempty"`
}

// Bar is a condition that the results meet or not. It compares the mean of a
// figure, of which less is better, with the lowest mean of the baselines or with
// the limit.
type Bar struct {
	Figure  string `yaml:"figure" json:"figure"`
	Variant string `yaml:"variant" json:"variant"`
	// Against is best_baseline or limit.
	Against Opponent `yaml:"against" json:"against"`
	// AtMost is the largest allowed ratio of the variant's figure to the other.
	AtMost float64 `yaml:"at_most" json:"at_most"`
	// Throughput, if over 0, is the least allowed ratio of the samples a trainer
	// gets in an hour to that of the same baseline.
	Throughput float64 `yaml:"throughput,omitempty" json:"throughput,omitempty"`
}

// Opponent is what a bar compares with.
type Opponent string

// The opponents.
const (
	AgainstBestBaseline Opponent = "best_baseline"
	AgainstLimit        Opponent = "limit"
)

// maxFileBytes bounds experiment and policy files.
const maxFileBytes = 1 << 20

const defaultConfidence = 0.95

// Load reads an experiment file and the policy programs that it names.
func Load(path string) (*Settings, error) {
	content, err := readBounded(path)
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
		source, err := readBounded(policy)
		if err != nil {
			return nil, eris.Wrapf(err, "variant %s", variant.Name)
		}
		variant.policySource = string(source)
	}
	return experiment, nil
}

// Parse reads experiment settings from memory; path stands in messages only.
// Policy programs are not read.
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

func readBounded(path string) ([]byte, error) {
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

// variant finds a variant by name.
func (s *Settings) variant(name string) (Variant, bool) {
	for _, variant := range s.Variants {
		if variant.Name == name {
			return variant, true
		}
	}
	return Variant{}, false
}
