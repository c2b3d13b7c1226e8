package admission

import (
	"math"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// usageHalfLife is the half-life of the counts of recent requests.
	usageHalfLife = time.Second
	// rescaleExponent is the exponent at which weights are rescaled, far below the range of
	// a float64.
	rescaleExponent = 64
	// recentUsage is the count from which a tenant has recent requests.
	recentUsage = 0.1
	// heavyRatio is the ratio to the mean usage above which a tenant is heavy.
	heavyRatio = 2
	// negligibleUsage is the count below which a tenant is forgotten.
	negligibleUsage = 1e-3
)

// tenantUsage counts the recent requests of each tenant, with exponential decay. Instead of
// decaying all counts, it gives later requests a higher weight, so that counts can be
// compared without computing their decay.
type tenantUsage struct {
	origin time.Time
	counts map[port.TenantName]float64
}

func newTenantUsage(now time.Time) tenantUsage {
	return tenantUsage{origin: now, counts: make(map[port.TenantName]float64)}
}

// add counts one request.
func (u *tenantUsage) add(now time.Time, tenant port.TenantName) {
	weight := u.weight(now) // may rescale the counts, so it comes first
	u.counts[tenant] += weight
}

// heavy reports whether a tenant's usage, relative to its share, is well above the mean of the
// tenants with recent requests.
func (u *tenantUsage) heavy(now time.Time, tenant port.TenantName, share float64) bool {
	least := recentUsage * u.weight(now) // may rescale the counts, so it comes first
	own := u.counts[tenant] / normalizeShare(share)
	if own < least {
		return false
	}
	total := 0.0
	recent := 0
	for _, count := range u.counts {
		if count >= least {
			total += count
			recent++
		}
	}
	return own*float64(recent) > heavyRatio*total
}

// weight returns the weight of a request counted now.
func (u *tenantUsage) weight(now time.Time) float64 {
	exponent := float64(now.Sub(u.origin)) / float64(usageHalfLife)
	if exponent > rescaleExponent {
		u.rescale(now, exponent)
		exponent = 0
	}
	return math.Exp2(exponent)
}

// rescale moves the origin to now and drops tenants without recent requests.
func (u *tenantUsage) rescale(now time.Time, exponent float64) {
	factor := math.Exp2(-exponent)
	for tenant, count := range u.counts {
		if count*factor < negligibleUsage {
			delete(u.counts, tenant)
			continue
		}
		u.counts[tenant] = count * factor
	}
	u.origin = now
}

// recentRefusals counts refused requests with the same decay.
type recentRefusals struct {
	count float64
	last  time.Time
}

func (r *recentRefusals) add(now time.Time) {
	r.count = r.at(now) + 1
	r.last = now
}

func (r *recentRefusals) at(now time.Time) float64 {
	elapsed := max(now.Sub(r.last), 0)
	return r.count * math.Exp2(-float64(elapsed)/float64(usageHalfLife))
}
