package attempt

import "github.com/loomgrade/loomgrade/internal/port"

// worst gives the verdict that holds for a request after several attempts: a
// request that may have run once stays so, whatever later attempts say. A verdict
// that was forgotten counts as MayHaveRun.
func worst(earlier, later port.Verdict) port.Verdict {
	if later == port.VerdictUnset {
		later = port.MayHaveRun
	}
	if earlier == port.NotRun || later == port.Ran {
		return later
	}
	return earlier
}

// WithVerdict gives the failure with another verdict; the given one stays as it
// is.
func WithVerdict(failure *port.Error, verdict port.Verdict) *port.Error {
	if failure.Verdict == verdict {
		return failure
	}
	covered := *failure
	covered.Verdict = verdict
	return &covered
}
