package engine

import (
	"errors"
	"slices"
	"time"
)

// OrderKind is the kind of an Order.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStage         OrderKind = iota // fetch Weights ahead of use
	OrderActivate                       // serve staged Weights
	OrderLoadAdapter                    // load the adapter in Weights without staging
	OrderUnloadAdapter                  // unload the adapter in Weights
	OrderSetRole                        // change Role
)

// Order is a fenced instruction to an engine.
type Order struct {
	Kind OrderKind
	// Fence is the fencing token of the sender. The engine rejects an order with a fence
	// below the highest received.
	Fence uint64
	// Incarnation, if not 0, is the engine incarnation that the order is for; any other
	// incarnation rejects the order.
	Incarnation uint64
	Weights     Weights
	Role        Role
}

// Errors of Order. A rejected order has no effect.
var (
	ErrStaleFence       = errors.New("fence is older than the highest seen")
	ErrWrongIncarnation = errors.New("order is for another incarnation")
	ErrNotStaged        = errors.New("weights are not staged")
	ErrModelInUse       = errors.New("another model cannot be activated while requests are in flight")
	ErrAdapterInUse     = errors.New("adapter is used by requests in flight")
)

// swapFault is the fault to apply to the next activation.
type swapFault uint8

const (
	swapSucceeds swapFault = iota
	swapFails
	swapMisdirected
)

// timer is a future internal event.
type timer struct {
	at       time.Duration
	kind     timerKind
	sequence *sequence
	weights  Weights
}

type timerKind uint8

const (
	timerStaged timerKind = iota
	timerAdapter
	timerTransfer
)

// Order applies or rejects an order. An event reports the end of a staging, an activation or
// an adapter load.
func (m *Model) Order(now time.Duration, order Order) error {
	m.interrupt(now)
	switch {
	case !m.up:
		return ErrDown
	case order.Fence < m.fence:
		return ErrStaleFence
	case order.Incarnation != 0 && order.Incarnation != m.incarnation:
		return ErrWrongIncarnation
	}
	m.fence = order.Fence
	switch order.Kind {
	case OrderStage:
		m.stage(now, order.Weights)
		return nil
	case OrderActivate:
		return m.activate(order.Weights)
	case OrderLoadAdapter:
		ready := now + m.config.AdapterLoadTime
		m.timers = append(m.timers, timer{at: ready, kind: timerAdapter, weights: order.Weights})
		return nil
	case OrderUnloadAdapter:
		return m.unloadAdapter(order.Weights.Adapter)
	default:
		m.role = order.Role
		return nil
	}
}

// stage starts the transfer of weights unless they are staged or being staged.
func (m *Model) stage(now time.Duration, weights Weights) {
	if slices.Contains(m.staged, weights) || slices.Contains(m.staging, weights) {
		return
	}
	m.staging = append(m.staging, weights)
	if m.config.Store != nil {
		ready := m.config.Store.Reserve(now, m.config.WeightBytes)
		m.timers = append(m.timers, timer{at: ready, kind: timerStaged, weights: weights})
	}
}

// CompleteStaging ends a transfer that the driver made; complete is false if the transfer
// failed. It returns ErrNotStaged if the engine is not staging these weights, for example
// after a restart.
func (m *Model) CompleteStaging(now time.Duration, weights Weights, complete bool) error {
	m.interrupt(now)
	if !slices.Contains(m.staging, weights) {
		return ErrNotStaged
	}
	if !complete {
		m.staging = slices.DeleteFunc(m.staging, func(w Weights) bool { return w == weights })
		return nil
	}
	m.finishStaging(now, weights)
	return nil
}

func (m *Model) finishStaging(at time.Duration, weights Weights) {
	m.staging = slices.DeleteFunc(m.staging, func(w Weights) bool { return w == weights })
	m.staged = append(m.staged, weights)
	if len(m.staged) > m.config.StagedSlots {
		m.staged = slices.Delete(m.staged, 0, 1)
	}
	m.emit(Event{At: at, Kind: EventStaged, Weights: weights})
}

// activate schedules a swap for the end of the current step.
func (m *Model) activate(weights Weights) error {
	if m.targetWeights(weights.Adapter) == weights {
		return nil
	}
	if !slices.Contains(m.staged, weights) {
		return ErrNotStaged
	}
	if weights.Adapter == "" && weights.Model != m.weights.Model && len(m.sequences) > 0 {
		return ErrModelInUse
	}
	m.pending = slices.DeleteFunc(m.pending, func(w Weights) bool { return w.Adapter == weights.Adapter })
	m.pending = append(m.pending, weights)
	return nil
}

// targetWeights returns the weights of the base model (for "") or of an adapter after all
// pending swaps.
func (m *Model) targetWeights(adapter string) Weights {
	for _, weights := range m.pending {
		if weights.Adapter == adapter {
			return weights
		}
	}
	if m.swapping && m.swapTarget.Adapter == adapter {
		return m.swapTarget
	}
	if adapter == "" {
		return m.weights
	}
	return Weights{Adapter: adapter, Version: m.adapters[adapter]}
}

// startSwap stops all steps for the duration of the swap.
func (m *Model) startSwap(at time.Duration) {
	m.swapTarget = m.pending[0]
	m.pending = slices.Delete(m.pending, 0, 1)
	m.swapping = true
	pause := m.config.SwapPause
	if m.swapTarget.Adapter != "" {
		pause = m.config.AdapterLoadTime
	}
	m.pausedUntil = at + pause
	m.dropCache()
}

// serve sets the weights that produce the next tokens.
func (m *Model) serve(weights Weights) {
	if weights.Adapter == "" {
		m.weights = weights
		return
	}
	m.adapters[weights.Adapter] = weights.Version
}

// dropCache clears the prefix cache, whose KV state belongs to the replaced weights.
// Sequences in flight keep their state but no longer share it.
func (m *Model) dropCache() {
	m.memory.clear()
	for _, s := range m.sequences {
		s.unshareable = true
	}
}

// finishSwap serves the ordered weights, or applies the swap fault.
func (m *Model) finishSwap(at time.Duration) {
	ordered, fault := m.swapTarget, m.swapFault
	m.swapping, m.swapFault = false, swapSucceeds
	m.dirty = true
	if fault == swapFails {
		broken := ordered
		broken.Version = UnknownVersion
		m.serve(broken)
		m.emit(Event{At: at, Kind: EventSwapFailed, Weights: ordered})
		return
	}
	if fault == swapMisdirected {
		ordered = m.misdirectedTo
	}
	m.serve(ordered)
	m.emit(Event{At: at, Kind: EventActivated, Weights: ordered})
}

func (m *Model) unloadAdapter(adapter string) error {
	for _, s := range m.sequences {
		if s.request.Adapter == adapter {
			return ErrAdapterInUse
		}
	}
	delete(m.adapters, adapter)
	return nil
}

// fireTimers handles the timers that are due, oldest first.
func (m *Model) fireTimers(at time.Duration) {
	for {
		due := -1
		for i := range m.timers {
			if m.timers[i].at <= at && (due < 0 || m.timers[i].at < m.timers[due].at) {
				due = i
			}
		}
		if due < 0 {
			return
		}
		t := m.timers[due]
		m.timers = slices.Delete(m.timers, due, due+1)
		m.fire(at, t)
	}
}

func (m *Model) fire(at time.Duration, t timer) {
	switch t.kind {
	case timerStaged:
		m.finishStaging(at, t.weights)
	case timerAdapter:
		m.serve(t.weights)
		m.emit(Event{At: at, Kind: EventAdapterLoaded, Weights: t.weights})
	case timerTransfer:
		m.finishTransfer(at, t.sequence)
	}
}
