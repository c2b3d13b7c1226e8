package admission

import (
	"math/rand/v2"
	"time"
)

// loadPattern describes the load and the faults of one run of the model.
type loadPattern struct {
	name          string
	senders       int
	rewardSenders int
	replicas      int
	slots         int
	// work is the mean work of a request, aim the latency that callers aim for.
	work, aim time.Duration
	// usual and burst are the rates of requests relative to what the replicas can run.
	usual, burst float64
	// factor returns how many times slower a replica runs at a time; nil means never.
	factor func(replica int, at time.Duration) float64
	// restarts is when all senders lose their state; 0 means never.
	restarts time.Duration
	// tenants is the number of equal tenants. One more sends bigTenant times its usual load
	// during the burst.
	tenants   int
	bigTenant float64
	// unmarkedRetries is set if senders do not know that a request was refused before.
	unmarkedRetries bool
	// routesByCapacity is set if senders choose replicas in proportion to what each can run. No
	// sender can know that; it shows what a limit can reach with perfect routing.
	routesByCapacity bool
}

// burstPattern is a burst on deployment A of the design page.
func burstPattern(name string, burst float64) loadPattern {
	return loadPattern{
		name: name, senders: 61, rewardSenders: 12, replicas: 3, slots: 6,
		work: 25 * time.Millisecond, aim: 150 * time.Millisecond,
		usual: 0.5, burst: burst, tenants: 80,
	}
}

func (p loadPattern) slowed(factor func(int, time.Duration) float64) loadPattern {
	p.factor = factor
	return p
}

// sentBy sets the number of senders. The replicas of 800 are larger in proportion.
func (p loadPattern) sentBy(senders int) loadPattern {
	p.senders = senders
	if senders == 800 {
		p.slots = 13
	}
	return p
}

// onB sets the work and the aim of deployment B.
func (p loadPattern) onB() loadPattern {
	p.work = 21 * time.Millisecond
	p.aim = 200 * time.Millisecond
	return p
}

func (p loadPattern) restarted() loadPattern {
	p.restarts = modelBurstStart + modelBurst/2
	return p
}

func (p loadPattern) unmarked() loadPattern {
	p.unmarkedRetries = true
	return p
}

func (p loadPattern) routedByCapacity() loadPattern {
	p.name += ", routed by capacity"
	p.routesByCapacity = true
	return p
}

// bigTenantPattern is a usual load of ten tenants, one of which sends 20 times as much.
func bigTenantPattern() loadPattern {
	pattern := burstPattern("one tenant sends 20 times its load", 0.5)
	pattern.tenants = 9
	pattern.bigTenant = 20
	return pattern
}

// slowReplicas makes two of three replicas 4 times slower for 8 s of the burst.
func slowReplicas(replica int, at time.Duration) float64 {
	const from, to = modelBurstStart + 3*time.Second, modelBurstStart + 11*time.Second
	if replica > 0 && at >= from && at < to {
		return 4
	}
	return 1
}

// changingReplicas makes 15% of the replicas 2.5 times slower, redrawn each 0.6 s.
func changingReplicas(replica int, at time.Duration) float64 {
	const period = 600 * time.Millisecond
	random := rand.New(rand.NewPCG(uint64(replica), uint64(at/period)))
	if random.Float64() < 0.15 {
		return 2.5
	}
	return 1
}

// reachedPatterns are those on which all targets are reached: those with equally fast replicas
// and tens of senders, or one, and those of deployment B.
func reachedPatterns() []loadPattern {
	return []loadPattern{
		burstPattern("no burst", 0.5),
		burstPattern("burst of 1", 1),
		burstPattern("burst of 1.4", 1.4),
		burstPattern("burst of 3", 3),
		burstPattern("burst of 1.4, 1 sender", 1.4).sentBy(1),
		burstPattern("burst of 3, 1 sender", 3).sentBy(1),
		burstPattern("burst of 3, senders restart", 3).restarted(),
		bigTenantPattern(),
		burstPattern("B, burst of 1, changing slow ones", 1).slowed(changingReplicas).onB(),
		burstPattern("B, burst of 3, changing slow ones", 3).slowed(changingReplicas).onB(),
	}
}

// manySenderPatterns are those in which a sender has one or two requests a second.
func manySenderPatterns() []loadPattern {
	return []loadPattern{
		burstPattern("burst of 1.4, 800 senders", 1.4).sentBy(800),
		burstPattern("burst of 3, 800 senders", 3).sentBy(800),
	}
}

// slowPatterns are those of deployment A with slow replicas.
func slowPatterns() []loadPattern {
	return []loadPattern{
		burstPattern("no burst, two of three slow", 0.5).slowed(slowReplicas),
		burstPattern("burst of 1.4, two of three slow", 1.4).slowed(slowReplicas),
		burstPattern("burst of 1, changing slow ones", 1).slowed(changingReplicas),
		burstPattern("burst of 3, changing slow ones", 3).slowed(changingReplicas),
	}
}
