package attempt

import "github.com/loomgrade/loomgrade/internal/port"

// combineVerdicts returns the verdict of a request after several attempts: Ran takes
// precedence over MayHaveRun, and both over NotRun. VerdictUnset counts as MayHaveRun.
func combineVerdicts(earlier, later port.Verdict) port.Verdict {
	if later == port.VerdictUnset {
		later = port.MayHaveRun
	}
	if earlier == port.NotRun || later == port.Ran {
		return later
	}
	return earlier
}

// WithVerdict returns the failure with the verdict. It doesn't modify its argument.
func WithVerdict(failure *port.Error, verdict port.Verdict) *port.Error {
	if failure.Verdict == verdict {
		return failure
	}
	result := *failure
	result.Verdict = verdict
	return &result
}
