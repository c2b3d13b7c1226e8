package experiment

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
)

// sweepSetting sets one override from text.
type sweepSetting struct {
	name    string
	allowed string
	set     func(overrides *Overrides, value string) error
}

// errOutside says that a swept value is not allowed.
var errOutside = eris.New("value outside its range")

// sweepSettings are the overrides that a sweep can change, in the order of
// messages.
var sweepSettings = []sweepSetting{
	sweptTime("engine.step_base", maxEngineTime, func(o *Overrides) *settings.Duration { return &o.Engine.StepBase }),
	sweptTime("engine.step_per_sequence", maxEngineTime, func(o *Overrides) *settings.Duration { return &o.Engine.StepPerSequence }),
	sweptTime("engine.step_per_prefill_token", maxEngineTime, func(o *Overrides) *settings.Duration { return &o.Engine.StepPerPrefillToken }),
	sweptTime("engine.swap_pause", maxEngineTime, func(o *Overrides) *settings.Duration { return &o.Engine.SwapPause }),
	sweptTime("trainer_step", maxTrainerStep, func(o *Overrides) *settings.Duration { return &o.TrainerStep }),
	sweptNumber("engines", maxEngines, func(o *Overrides) *int { return &o.Engines }),
	sweptNumber("publish_every", maxPublishEvery, func(o *Overrides) *int { return &o.PublishEvery }),
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

func sweptTime(name string, most time.Duration, field func(*Overrides) *settings.Duration) sweepSetting {
	set := func(overrides *Overrides, value string) error {
		parsed, err := time.ParseDuration(value)
		if err != nil {
			return eris.Wrap(err, name)
		}
		if parsed < minEngineTime || parsed > most {
			return errOutside
		}
		*field(overrides) = settings.DurationOf(parsed)
		return nil
	}
	return sweepSetting{name: name, allowed: minEngineTime.String() + " to " + most.String() + ", with a unit", set: set}
}

func sweptNumber(name string, most int, field func(*Overrides) *int) sweepSetting {
	set := func(overrides *Overrides, value string) error {
		parsed, err := strconv.Atoi(value)
		if err != nil {
			return eris.Wrap(err, name)
		}
		if parsed < 1 || parsed > most {
			return errOutside
		}
		*field(overrides) = parsed
		return nil
	}
	return sweepSetting{name: name, allowed: "1 to " + strconv.Itoa(most), set: set}
}
