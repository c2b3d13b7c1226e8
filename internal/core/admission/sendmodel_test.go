package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/retry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Times of the modelled service and its callers.
const (
	modelRewardWork  = 30 * time.Millisecond
	modelWorkSpread  = 0.5 // standard deviation of the logarithm of the work
	modelNetwork     = time.Millisecond
	modelPatience    = 1500 * time.Millisecond
	modelRewardWait  = 30 * time.Second
	modelBurstStart  = 4 * time.Second
	modelBurst       = 15 * time.Second
	modelAfter       = 8 * time.Second
	modelRetryRatio  = 0.1
	modelRewardRate  = 90.0
	modelQueueLength = 24
	modelSeed        = 1
)

// modelResult is what one run measured.
type modelResult struct {
	requests, onTime, late, refused int
	// runnable is the number of requests of the burst that the replicas could run.
	runnable      float64
	tries, calls  int
	rewardLatency []time.Duration
	// before and after are the requests before the burst and from 1 s after it.
	before, after phaseResult
	smallTenants  phaseResult
	// smallSenders and largeSenders are those with few and with many callers, in the burst.
	smallSenders, largeSenders phaseResult
	reasons                    map[Reason]int
}

type phaseResult struct{ requests, onTime, refused int }

func (p phaseResult) share() float64 { return float64(p.onTime) / float64(max(p.requests, 1)) }

// useful returns the requests served on time relative to what could be run.
func (r modelResult) useful() float64 { return float64(r.onTime) / r.runnable }

// triesPerCall returns the arrivals at replicas per request and reward call.
func (r modelResult) triesPerCall() float64 { return float64(r.tries) / float64(r.calls) }

// rewardP99 returns the 99th percentile of the reward calls' latencies.
func (r modelResult) rewardP99() time.Duration {
	slices.Sort(r.rewardLatency)
	return r.rewardLatency[len(r.rewardLatency)*99/100]
}

// modelCall is one request or reward call.
type modelCall struct {
	id       int
	tenant   string
	reward   bool
	sender   *modelSender
	first    time.Duration
	deadline time.Duration
	attempts int
	refusers []int
	sent     time.Duration
}

type modelSender struct {
	limiter  *SendLimiter[*modelCall]
	budget   *retry.Budget
	weight   float64
	inFlight []int
	total    int
	reward   bool
	wake     time.Duration
}

type modelReplica struct {
	index, busy int
	queue       []*modelCall
}

type modelEvent struct {
	at    time.Duration
	order int
	run   func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int      { return len(e) }
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e modelEvents) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e *modelEvents) Push(value any) { *e = append(*e, value.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}

// model is an event loop over senders and replicas in virtual time.
type model struct {
	pattern  loadPattern
	way      limitWay
	random   *rand.Rand
	events   modelEvents
	orders   int
	at       time.Duration
	senders  []*modelSender
	replicas []*modelReplica
	weights  float64
	ids      int
	result   modelResult
}

// runModel runs a pattern with one way to limit.
func runModel(pattern loadPattern, way limitWay, seed uint64) modelResult {
	m := &model{pattern: pattern, way: way, random: rand.New(rand.NewPCG(seed, 22))}
	m.result.reasons = map[Reason]int{}
	for index := range pattern.replicas {
		m.replicas = append(m.replicas, &modelReplica{index: index})
	}
	for index := range pattern.senders + pattern.rewardSenders {
		m.addSender(index >= pattern.senders)
	}
	m.scheduleBurst()
	m.arriveCaller()
	m.arriveReward()
	if pattern.restarts > 0 {
		m.after(pattern.restarts, m.restart)
	}
	for len(m.events) > 0 {
		event := heap.Pop(&m.events).(modelEvent)
		m.at = event.at
		event.run()
	}
	return m.result
}

func (m *model) now() time.Time { return start.Add(m.at) }

func (m *model) after(wait time.Duration, run func()) {
	m.orders++
	heap.Push(&m.events, modelEvent{m.at + wait, m.orders, run})
}

func (m *model) addSender(reward bool) {
	sender := &modelSender{reward: reward, inFlight: make([]int, m.pattern.replicas), weight: 1}
	if !reward && m.pattern.senders > 1 {
		const meanCallers = 5
		sender.weight = float64(m.poisson(meanCallers))
	}
	if !reward {
		m.weights += sender.weight
	}
	m.reset(sender)
	m.senders = append(m.senders, sender)
}

// reset gives a sender an empty state. Senders of reward calls use the chosen way if there is a
// limit at all, as the ways differ in what callers see.
func (m *model) reset(sender *modelSender) {
	sender.limiter = NewSendLimiter[*modelCall](m.now())
	if !sender.reward || m.way.name == "none" {
		sender.limiter.rate.rule = m.way.newRule(m.pattern)
	}
	sender.limiter.SetCapacity(m.pattern.replicas*m.pattern.slots, m.pattern.senders)
	sender.budget = retry.NewBudget(modelRetryRatio, m.now())
}

// restart drops the state of all senders; their waiting requests are refused.
func (m *model) restart() {
	for _, sender := range m.senders {
		for _, unserved := range sender.limiter.Drain() {
			m.refused(unserved.Item.Value, unserved.Error)
		}
		m.reset(sender)
	}
}

func (m *model) poisson(mean float64) int {
	count := 0
	for sum := m.random.ExpFloat64(); sum < mean; sum += m.random.ExpFloat64() {
		count++
	}
	return count
}

// factor returns how many times slower a replica runs now.
func (m *model) factor(replica int) float64 {
	if m.pattern.factor == nil {
		return 1
	}
	return m.pattern.factor(replica, m.at)
}

// capacity returns the requests per second that the replicas can run beside reward calls.
func (m *model) capacity() float64 {
	slots := 0.0
	for index := range m.pattern.replicas {
		slots += float64(m.pattern.slots) / m.factor(index)
	}
	return max(slots-m.rewardRate()*modelRewardWork.Seconds(), 0) / m.pattern.work.Seconds()
}

// fullCapacity is the capacity without slow replicas, to which loads are relative.
func (m *model) fullCapacity() float64 {
	slots := float64(m.pattern.slots * m.pattern.replicas)
	return (slots - m.rewardRate()*modelRewardWork.Seconds()) / m.pattern.work.Seconds()
}

func (m *model) rewardRate() float64 {
	if m.pattern.rewardSenders == 0 {
		return 0
	}
	return modelRewardRate
}

func (m *model) bursting() bool {
	return m.at >= modelBurstStart && m.at < modelBurstStart+modelBurst
}

// rate returns the current rate of requests per second, and the share of the big tenant.
func (m *model) rate() (float64, float64) {
	load := m.pattern.usual
	if m.bursting() {
		load = m.pattern.burst
	}
	big := 0.0
	if m.pattern.bigTenant > 0 {
		each := m.pattern.usual / float64(m.pattern.tenants+1)
		big = each
		if m.bursting() {
			big = each * m.pattern.bigTenant
		}
		load = load - each + big
	}
	return load * m.fullCapacity(), big / load
}

// scheduleBurst sums up in steps what can be run during the burst.
func (m *model) scheduleBurst() {
	const step = 50 * time.Millisecond
	for at := modelBurstStart; at < modelBurstStart+modelBurst; at += step {
		m.after(at, func() {
			rate, _ := m.rate()
			m.result.runnable += min(m.capacity(), rate) * step.Seconds()
		})
	}
}

func (m *model) arriveCaller() {
	if m.at > modelBurstStart+modelBurst+modelAfter {
		return
	}
	rate, big := m.rate()
	if m.at > 0 {
		m.newCall(big)
	}
	m.after(m.interval(rate), m.arriveCaller)
}

func (m *model) interval(rate float64) time.Duration {
	return time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
}

func (m *model) newCall(big float64) {
	call := &modelCall{tenant: "t00", first: m.at, deadline: m.at + modelPatience}
	if m.random.Float64() < big {
		call.tenant = "big"
	} else if m.pattern.tenants > 0 {
		call.tenant = fmt.Sprintf("t%02d", m.random.IntN(m.pattern.tenants))
	}
	drawn := m.random.Float64() * m.weights
	for _, sender := range m.senders {
		call.sender = sender
		if drawn -= sender.weight; drawn < 0 {
			break
		}
	}
	m.result.calls++
	m.count(call, func(p *phaseResult) { p.requests++ })
	if m.inBurst(call) {
		m.result.requests++
	}
	m.offer(call)
}

func (m *model) arriveReward() {
	if m.pattern.rewardSenders == 0 || m.at > modelBurstStart+modelBurst+modelAfter {
		return
	}
	if m.at > 0 {
		sender := m.senders[m.pattern.senders+m.random.IntN(m.pattern.rewardSenders)]
		m.result.calls++
		m.offer(&modelCall{tenant: "jobs", reward: true, sender: sender, first: m.at, deadline: m.at + modelRewardWait})
	}
	m.after(m.interval(modelRewardRate), m.arriveReward)
}

func (m *model) inBurst(call *modelCall) bool {
	return call.first >= modelBurstStart && call.first < modelBurstStart+modelBurst
}

// count applies a change to the phase and to the groups of a call.
func (m *model) count(call *modelCall, change func(*phaseResult)) {
	const recovery = time.Second
	switch {
	case call.reward:
	case call.first < modelBurstStart:
		change(&m.result.before)
	case call.first >= modelBurstStart+modelBurst+recovery:
		change(&m.result.after)
	case m.inBurst(call):
		m.countBurst(call, change)
	}
}

// countBurst applies a change to the groups of a call of the burst.
func (m *model) countBurst(call *modelCall, change func(*phaseResult)) {
	const few, many = 3, 8
	if call.tenant != "big" {
		change(&m.result.smallTenants)
	}
	switch weight := call.sender.weight; {
	case weight <= few:
		change(&m.result.smallSenders)
	case weight >= many:
		change(&m.result.largeSenders)
	}
}

// aim returns the aim that a sender gives for a call.
func (m *model) aim(call *modelCall) time.Duration {
	switch {
	case call.reward:
		return ShareOf(RewardTraffic, 0, 0).Aim(m.pattern.aim)
	case call.attempts == 1 || m.pattern.unmarkedRetries:
		return m.pattern.aim
	case m.at-call.first >= m.pattern.aim:
		return -1
	default:
		return m.pattern.aim - (m.at - call.first)
	}
}

func (m *model) offer(call *modelCall) {
	m.ids++
	call.id = m.ids
	call.attempts++
	call.refusers = nil
	sender := call.sender
	if refusal := sender.limiter.Offer(m.now(), call.item(), m.aim(call)); refusal != nil {
		m.refused(call, refusal)
	}
	m.pump(sender)
}

// aimOf returns the latency aimed for, as senders report it with results.
func (m *model) aimOf(call *modelCall) time.Duration {
	if call.reward {
		return 0
	}
	return m.pattern.aim
}

func (c *modelCall) item() Item[*modelCall] {
	return Item[*modelCall]{
		ID: port.RequestID(fmt.Sprint(c.id)), Tenant: port.TenantName(c.tenant),
		Deadline: start.Add(c.deadline), Value: c,
	}
}

// refused hands a refusal to the caller, who comes back once. Reward calls always come back.
func (m *model) refused(call *modelCall, refusal *port.Error) {
	m.result.reasons[ReasonOf(refusal)]++
	wait := refusal.RetryAfter
	if !call.reward {
		wait = min(wait, (call.deadline-m.at)/3)
	}
	if call.reward || call.attempts == 1 {
		m.after(wait, func() { m.offer(call) })
		return
	}
	m.count(call, func(p *phaseResult) { p.refused++ })
	if m.inBurst(call) {
		m.result.refused++
	}
}

// pump sends what the limiter of a sender allows, and schedules its next call.
func (m *model) pump(sender *modelSender) {
	maximum := math.MaxInt
	if sender.reward {
		maximum = ShareOf(RewardTraffic, m.pattern.replicas*m.pattern.slots, m.pattern.rewardSenders).InFlight
	}
	for sender.total < maximum {
		item, found := sender.limiter.Next(m.now())
		if !found {
			break
		}
		m.try(item.Value)
	}
	for _, unserved := range sender.limiter.Expire(m.now()) {
		m.refused(unserved.Item.Value, unserved.Error)
	}
	if sender.total >= maximum {
		return
	}
	wake := sender.limiter.WakeAt(m.now())
	if wake.IsZero() {
		return
	}
	at := max(wake.Sub(start), m.at)
	if sender.wake > m.at && sender.wake <= at {
		return
	}
	sender.wake = at
	m.after(at-m.at, func() { m.pump(sender) })
}

// try sends a call to the replica with the fewest calls in flight that did not refuse it.
func (m *model) try(call *modelCall) {
	sender := call.sender
	chosen := -1
	ties := 0
	lowest := 0.0
	for index := range sender.inFlight {
		if slices.Contains(call.refusers, index) {
			continue
		}
		cost := m.cost(sender, index)
		switch {
		case chosen < 0 || cost < lowest:
			chosen, ties, lowest = index, 1, cost
		case cost == lowest:
			ties++
			if m.random.IntN(ties) == 0 {
				chosen = index
			}
		}
	}
	sender.inFlight[chosen]++
	sender.total++
	call.sent = m.at
	m.result.tries++
	m.after(modelNetwork, func() { m.arrive(m.replicas[chosen], call) })
}

// cost is what a sender minimizes when it chooses a replica.
func (m *model) cost(sender *modelSender, replica int) float64 {
	if m.pattern.routesByCapacity {
		return m.random.ExpFloat64() * m.factor(replica)
	}
	return float64(sender.inFlight[replica])
}

func (m *model) arrive(replica *modelReplica, call *modelCall) {
	switch {
	case replica.busy < m.pattern.slots:
		m.run(replica, call)
	case len(replica.queue) < modelQueueLength:
		replica.queue = append(replica.queue, call)
	default:
		m.after(modelNetwork, func() { m.rejected(replica, call) })
	}
}

func (m *model) run(replica *modelReplica, call *modelCall) {
	replica.busy++
	work := m.pattern.work
	if call.reward {
		work = modelRewardWork
	}
	draw := math.Exp(modelWorkSpread*m.random.NormFloat64() - modelWorkSpread*modelWorkSpread/2)
	m.after(time.Duration(float64(work)*draw*m.factor(replica.index)), func() { m.finish(replica, call) })
}

func (m *model) finish(replica *modelReplica, call *modelCall) {
	replica.busy--
	if len(replica.queue) > 0 {
		next := replica.queue[0]
		replica.queue = replica.queue[1:]
		m.run(replica, next)
	}
	m.after(modelNetwork, func() { m.answered(replica, call) })
}

func (m *model) answered(replica *modelReplica, call *modelCall) {
	sender := call.sender
	sender.inFlight[replica.index]--
	sender.total--
	taken := m.at - call.sent
	sender.limiter.Observe(m.now(), TryResult{Latency: taken, Aim: m.aimOf(call)})
	sender.budget.Success(m.now())
	if rule, counts := sender.limiter.rate.rule.(acceptedRule); counts {
		rule.accept(m.now())
	}
	latency := m.at - call.first
	switch {
	case call.reward:
		if m.inBurst(call) {
			m.result.rewardLatency = append(m.result.rewardLatency, latency)
		}
	case latency <= m.pattern.aim:
		m.count(call, func(p *phaseResult) { p.onTime++ })
		if m.inBurst(call) {
			m.result.onTime++
		}
	case m.inBurst(call):
		m.result.late++
	}
	m.pump(sender)
}

// rejected handles the refusal of a full replica.
func (m *model) rejected(replica *modelReplica, call *modelCall) {
	sender := call.sender
	sender.inFlight[replica.index]--
	sender.total--
	sender.limiter.Observe(m.now(), TryResult{Refused: true, Aim: m.aimOf(call)})
	call.refusers = append(call.refusers, replica.index)
	if len(call.refusers) < m.pattern.replicas && sender.budget.Withdraw(m.now()) {
		m.try(call)
	} else {
		m.refused(call, sender.limiter.RefuseRetry(m.now(), call.item()))
	}
	m.pump(sender)
}
