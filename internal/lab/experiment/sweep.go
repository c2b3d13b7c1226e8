package experiment

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// sweepSetting parses and sets one override.
type sweepSetting struct {
	name    string
	allowed string
	set     func(overrides *Overrides, value string) error
	// siteValue returns the value that a site has without the override.
	siteValue func(site sim.Site) string
}

// errOutOfRange is returned for a swept value that is not allowed.
var errOutOfRange = eris.New("value out of range")

// sweepSettings lists the overrides that a sweep can change, in the order of messages.
var sweepSettings = []sweepSetting{
	sweptTime("engine.step_base", maxEngineTime,
		func(o *Overrides) *settings.Duration { return &o.Engine.StepBase },
		func(site sim.Site) time.Duration { return site.Engine.StepBase }),
	sweptTime("engine.step_per_sequence", maxEngineTime,
		func(o *Overrides) *settings.Duration { return &o.Engine.StepPerSequence },
		func(site sim.Site) time.Duration { return site.Engine.StepPerSequence }),
	sweptTime("engine.step_per_prefill_token", maxEngineTime,
		func(o *Overrides) *settings.Duration { return &o.Engine.StepPerPrefillToken },
		func(site sim.Site) time.Duration { return site.Engine.StepPerPrefillToken }),
	sweptTime("engine.swap_pause", maxEngineTime,
		func(o *Overrides) *settings.Duration { return &o.Engine.SwapPause },
		func(site sim.Site) time.Duration { return site.Engine.SwapPause }),
	sweptTime("trainer_step", maxTrainerStep,
		func(o *Overrides) *settings.Duration { return &o.TrainerStep },
		func(site sim.Site) time.Duration { return site.Trainers[0].StepTime }),
	sweptNumber("engines", maxEngines,
		func(o *Overrides) *int { return &o.Engines },
		func(site sim.Site) int { return site.Engines }),
	sweptNumber("publish_every", maxPublishEvery,
		func(o *Overrides) *int { return &o.PublishEvery },
		func(site sim.Site) int { return site.Trainers[0].PublishEvery }),
}

var sweepable = func() map[string]sweepSetting {
	byName := map[string]sweepSetting{}
	for _, setting := range sweepSettings {
		byName[setting.name] = setting
	}
	return byName
}()

func sweepableNames() []string {
	var names []string
	for _, setting := range sweepSettings {
		names = append(names, setting.name)
	}
	return names
}

func sweptTime(
	name string, maxTime time.Duration, field func(*Overrides) *settings.Duration, siteValue func(sim.Site) time.Duration,
) sweepSetting {
	set := func(overrides *Overrides, value string) error {
		parsed, err := time.ParseDuration(value)
		if err != nil {
			return eris.Wrap(err, name)
		}
		if parsed < minEngineTime || parsed > maxTime {
			return errOutOfRange
		}
		*field(overrides) = settings.NewDuration(parsed)
		return nil
	}
	return sweepSetting{
		name:      name,
		allowed:   minEngineTime.String() + " to " + maxTime.String() + ", with a unit",
		set:       set,
		siteValue: func(site sim.Site) string { return siteValue(site).String() },
	}
}

func sweptNumber(name string, maxNumber int, field func(*Overrides) *int, siteValue func(sim.Site) int) sweepSetting {
	set := func(overrides *Overrides, value string) error {
		parsed, err := strconv.Atoi(value)
		if err != nil {
			return eris.Wrap(err, name)
		}
		if parsed < 1 || parsed > maxNumber {
			return errOutOfRange
		}
		*field(overrides) = parsed
		return nil
	}
	return sweepSetting{
		name:      name,
		allowed:   "1 to " + strconv.Itoa(maxNumber),
		set:       set,
		siteValue: func(site sim.Site) string { return strconv.Itoa(siteValue(site)) },
	}
}

// unsweptValues returns the value of each sweep's setting without the sweep.
func (s *Settings) unsweptValues() []string {
	named, _ := siteNamed(s.Site)
	site := s.Overrides.apply(named)
	var values []string
	for _, sweep := range s.Sweeps {
		values = append(values, sweepable[sweep.Setting].siteValue(site))
	}
	return values
}

// SweptValue converts a value of a setting to a number: seconds for durations.
func SweptValue(value string) float64 {
	if duration, err := time.ParseDuration(value); err == nil {
		return duration.Seconds()
	}
	number, _ := strconv.ParseFloat(value, 64)
	return number
}
