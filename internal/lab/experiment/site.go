package experiment

import (
	"math"

	"github.com/loomgrade/loomgrade/internal/lab/load"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// Names of sites.
const (
	siteInkwell = "inkwell"
	siteMarea   = "marea"
)

// siteNamed returns the site with a name.
func siteNamed(name string) (sim.Site, bool) {
	switch name {
	case siteInkwell:
		return sim.Inkwell(), true
	case siteMarea:
		return sim.Marea(), true
	default:
		return sim.Site{}, false
	}
}

// scaleCallers returns the callers with rates and worker counts multiplied by scale.
func scaleCallers(callers []load.Class, scale float64) []load.Class {
	scaled := make([]load.Class, 0, len(callers))
	for _, class := range callers {
		class.Rate *= scale
		if class.Workers > 0 {
			class.Workers = max(int(math.Round(float64(class.Workers)*scale)), 1)
		}
		scaled = append(scaled, class)
	}
	return scaled
}
