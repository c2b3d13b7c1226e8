package admission

import (
	"testing"
	"time"
)

// Targets from the requirements of docs/design/0022-hard-load.md.
const (
	// minUseful is the share of what the replicas can run that is answered within the aim.
	minUseful = 0.85
	// maxTriesPerCall bounds the arrivals at replicas per request and reward call.
	maxTriesPerCall = 1.3
	// maxRewardP99 is the time by which a burst may delay a trainer.
	maxRewardP99 = 500 * time.Millisecond
	// minSmallShare is the share on time of the other tenants, relative to that without the big
	// tenant's load.
	minSmallShare = 0.9
	// naturalLate covers the few of 2,000 requests after a burst whose work and queue at half
	// load take longer than the aim.
	naturalLate = 0.002
)

// checkBurst checks the targets during a burst: otherwise requests are served late or refused
// although replicas could run them, or trainers wait for callers.
func checkBurst(t *testing.T, result modelResult) {
	t.Helper()
	if got := result.useful(); got < minUseful {
		t.Errorf("%.3f of the runnable requests on time, want %v", got, minUseful)
	}
	if got := result.triesPerCall(); got > maxTriesPerCall {
		t.Errorf("%.2f arrivals at replicas per request, want at most %v", got, maxTriesPerCall)
	}
	if got := result.rewardP99(); got > maxRewardP99 {
		t.Errorf("reward calls take %v at the 99th percentile, want at most %v", got, maxRewardP99)
	}
}

// checkRecovery checks that requests are served from 1 s after the burst as before it.
func checkRecovery(t *testing.T, result modelResult) {
	t.Helper()
	if result.after.refused > 0 {
		t.Errorf("%d of %d requests refused after the burst", result.after.refused, result.after.requests)
	}
	if got, want := result.after.share(), result.before.share()-naturalLate; got < want {
		t.Errorf("%.4f on time after the burst, want %.4f", got, want)
	}
}

func TestSendTargets(t *testing.T) {
	for _, pattern := range reachedPatterns() {
		t.Run(pattern.name, func(t *testing.T) {
			result := runModel(pattern, chosenWay, modelSeed)
			checkBurst(t, result)
			checkRecovery(t, result)
		})
	}
}

func TestSendTargetsOfManySenders(t *testing.T) {
	for _, pattern := range manySenderPatterns() {
		t.Run(pattern.name, func(t *testing.T) { checkBurst(t, runModel(pattern, chosenWay, modelSeed)) })
	}
}

func TestSendRecoveryOfManySenders(t *testing.T) {
	for _, pattern := range manySenderPatterns() {
		t.Run(pattern.name, func(t *testing.T) { checkRecovery(t, runModel(pattern, chosenWay, modelSeed)) })
	}
}

func TestSendTargetsWithSlowReplicas(t *testing.T) {
	for _, pattern := range slowPatterns() {
		t.Run(pattern.name, func(t *testing.T) {
			result := runModel(pattern, chosenWay, modelSeed)
			checkBurst(t, result)
			checkRecovery(t, result)
		})
	}
}

// TestSlowReplicasTries checks that slow replicas do not multiply the arrivals.
func TestSlowReplicasTries(t *testing.T) {
	for _, pattern := range slowPatterns() {
		t.Run(pattern.name, func(t *testing.T) {
			if got := runModel(pattern, chosenWay, modelSeed).triesPerCall(); got > maxTriesPerCall {
				t.Errorf("%.2f arrivals at replicas per request, want at most %v", got, maxTriesPerCall)
			}
		})
	}
}

// TestBigTenantDoesNotDelayOthers guards against refusals by load alone, which would hit all
// tenants alike.
func TestBigTenantDoesNotDelayOthers(t *testing.T) {
	pattern := bigTenantPattern()
	with := runModel(pattern, chosenWay, modelSeed).smallTenants.share()
	pattern.bigTenant = 1
	without := runModel(pattern, chosenWay, modelSeed).smallTenants.share()
	if with < minSmallShare*without {
		t.Errorf("small tenants: %.3f on time, %.3f without the big tenant's load", with, without)
	}
}

// TestSendModelIsDeterministic guards the fixed seeds of the targets.
func TestSendModelIsDeterministic(t *testing.T) {
	first := runModel(burstPattern("", 1.4), chosenWay, modelSeed)
	second := runModel(burstPattern("", 1.4), chosenWay, modelSeed)
	if first.onTime != second.onTime || first.tries != second.tries {
		t.Errorf("%d and %d on time, %d and %d tries", first.onTime, second.onTime, first.tries, second.tries)
	}
}
