package engine

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

var (
	firstWeights  = Weights{Model: "m", Version: 1}
	secondWeights = Weights{Model: "m", Version: 2}
	otherModel    = Weights{Model: "n", Version: 1}
)

func finishedEvent(events []Event) *Completion {
	for _, e := range events {
		if e.Kind == EventFinished {
			return e.Completion
		}
	}
	return nil
}

func kinds(events []Event) []EventKind {
	var list []EventKind
	for _, e := range events {
		if e.Kind != EventTokens {
			list = append(list, e.Kind)
		}
	}
	return list
}

func TestSwapDuringRequestSplitsSpans(t *testing.T) {
	cases := []struct {
		name string
		arm  func(*Model)
		want port.WeightVersion
		kind EventKind
	}{
		{"clean", func(*Model) {}, 2, EventActivated},
		{"fails partway", (*Model).FailNextSwap, UnknownVersion, EventSwapFailed},
		{"misdirected", func(m *Model) { m.MisdirectNextSwap(firstWeights) }, 1, EventActivated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(Config{Weights: Weights{Model: "m", Version: 7}, Store: NewStore(2 << 30)})
			c.arm(m)
			if err := m.Submit(0, Request{ID: "a", PromptTokens: 10, OutputTokens: 400}); err != nil {
				t.Fatal(err)
			}
			if err := m.Order(0, Order{Kind: OrderStage, Weights: secondWeights}); err != nil {
				t.Fatal(err)
			}
			if err := m.Order(0, Order{Kind: OrderActivate, Weights: secondWeights}); !errors.Is(err, ErrNotStaged) {
				t.Fatalf("activation before staging: %v", err)
			}
			if got := kinds(m.Advance(time.Second)); !slices.Equal(got, []EventKind{EventStaged}) {
				t.Fatalf("staging events %v", got)
			}
			if err := m.Order(2*time.Second, Order{Kind: OrderActivate, Weights: secondWeights}); err != nil {
				t.Fatal(err)
			}
			events := m.Advance(time.Minute)
			if got := kinds(events); !slices.Equal(got, []EventKind{c.kind, EventFinished}) {
				t.Fatalf("events %v", got)
			}
			spans := finishedEvent(events).Spans
			if len(spans) != 2 || spans[0].Version != 7 || spans[1].Version != c.want {
				t.Fatalf("spans %v", spans)
			}
			if got := m.Load().Weights.Version; got != c.want {
				t.Fatalf("reports version %d, want %d", got, c.want)
			}
		})
	}
}

func TestReloadAfterFailedSwap(t *testing.T) {
	m := New(Config{Weights: firstWeights})
	m.FailNextSwap()
	for range 2 {
		_ = m.Order(m.clock, Order{Kind: OrderStage, Weights: secondWeights})
		_ = m.CompleteStaging(m.clock, secondWeights, true)
		if err := m.Order(m.clock, Order{Kind: OrderActivate, Weights: secondWeights}); err != nil {
			t.Fatal(err)
		}
		m.Advance(m.clock + time.Second)
	}
	if got := m.Load().Weights; got != secondWeights {
		t.Fatalf("serves %v after the second activation", got)
	}
}

func TestFences(t *testing.T) {
	m := New(Config{})
	steps := []struct {
		order Order
		want  error
	}{
		{Order{Kind: OrderSetRole, Fence: 5}, nil},
		{Order{Kind: OrderSetRole, Fence: 4}, ErrStaleFence},
		{Order{Kind: OrderSetRole, Fence: 5, Role: RoleDecode}, nil},
		{Order{Kind: OrderSetRole, Fence: 9, Incarnation: 7}, ErrWrongIncarnation},
		{Order{Kind: OrderSetRole, Fence: 6}, nil},
		{Order{Kind: OrderSetRole, Fence: 5}, ErrStaleFence},
	}
	for i, step := range steps {
		if err := m.Order(time.Duration(i), step.order); !errors.Is(err, step.want) {
			t.Fatalf("order %d: got %v, want %v", i, err, step.want)
		}
	}
}

func TestOtherModelOnlyWhenIdle(t *testing.T) {
	m := New(Config{Weights: firstWeights})
	_ = m.Order(0, Order{Kind: OrderStage, Weights: otherModel})
	_ = m.CompleteStaging(0, otherModel, true)
	_ = m.Submit(0, Request{ID: "a", PromptTokens: 1, OutputTokens: 1})
	if err := m.Order(0, Order{Kind: OrderActivate, Weights: otherModel}); !errors.Is(err, ErrModelInUse) {
		t.Fatalf("got %v", err)
	}
	m.Advance(time.Second)
	if err := m.Order(time.Second, Order{Kind: OrderActivate, Weights: otherModel}); err != nil {
		t.Fatal(err)
	}
}

func TestCrashLosesEverything(t *testing.T) {
	m := New(Config{Weights: firstWeights})
	for _, id := range []string{"b", "a"} {
		_ = m.Submit(0, Request{ID: id, PromptTokens: 64, PromptBlocks: []uint64{1, 2, 3, 4}, OutputTokens: 9})
	}
	_ = m.Order(0, Order{Kind: OrderSetRole, Fence: 8})
	m.Advance(20 * time.Millisecond)
	if lost := m.Crash(30 * time.Millisecond); !slices.Equal(lost, []string{"a", "b"}) {
		t.Fatalf("lost %v", lost)
	}
	if err := m.Submit(time.Second, Request{ID: "c", PromptTokens: 1, OutputTokens: 1}); !errors.Is(err, ErrDown) {
		t.Fatalf("submit while down: %v", err)
	}
	m.Restart(2 * time.Second)
	load := m.Load()
	hashes, _ := m.CacheSnapshot()
	if load.Incarnation != 2 || load.Running+load.Waiting+load.KVUsed+len(hashes) != 0 || load.Fence != 0 {
		t.Fatalf("state survived: %+v", load)
	}
}

func TestMoveByExportAndImport(t *testing.T) {
	source, target := New(Config{Weights: firstWeights}), New(Config{Weights: secondWeights, Role: RoleDecode})
	_ = source.Submit(0, Request{ID: "a", PromptTokens: 100, OutputTokens: 50})
	source.Advance(300 * time.Millisecond)
	if err := source.Export(300*time.Millisecond, "a"); err != nil {
		t.Fatal(err)
	}
	var exported Event
	for _, e := range source.Advance(time.Minute) {
		if e.Kind == EventExported {
			exported = e
		}
	}
	done := exported.Completion.Spans[0].Tokens
	if exported.Count != 100+done || exported.At <= 300*time.Millisecond || source.Load().KVUsed != 0 {
		t.Fatalf("export %+v, load %+v", exported, source.Load())
	}
	request := Request{ID: "a", PromptTokens: 100, ResumedTokens: done, OutputTokens: 50 - done, ImportedTokens: exported.Count}
	if err := target.Submit(0, request); err != nil {
		t.Fatal(err)
	}
	completion := finishedEvent(target.Advance(time.Minute))
	if completion == nil || completion.Spans[0] != (port.Span{Version: 2, Tokens: 50 - done}) {
		t.Fatalf("completion %+v", completion)
	}
	if prefilled := target.Load().Totals.Prefilled; prefilled != 0 {
		t.Fatalf("target computed %d prompt tokens", prefilled)
	}
}

func TestPrefillOnlyAwaitsExport(t *testing.T) {
	m := New(Config{Role: RolePrefill})
	_ = m.Submit(0, Request{ID: "a", PromptTokens: 100, PrefillOnly: true})
	if done := finishedEvent(m.Advance(time.Second)); done == nil || done.Reason != FinishPrefilled {
		t.Fatalf("completion %+v", done)
	}
	if m.Load().KVUsed == 0 {
		t.Fatal("KV state was freed")
	}
	if err := m.Export(time.Second, "a"); err != nil {
		t.Fatal(err)
	}
}

func TestPrefixIsReusedUntilSwap(t *testing.T) {
	m := New(Config{Weights: firstWeights, BlockTokens: 8, CacheGenerated: true, CacheEvents: true})
	text := "the same forty-eight characters of a shared prompt, and then some more of them"
	request := Request{PromptTokens: CountTokens(text), PromptBlocks: HashBlocks(text, 8), OutputTokens: 20, ContentKey: 3}
	hits := func(id string) int {
		request.ID = id
		if err := m.Submit(m.clock, request); err != nil {
			t.Fatal(err)
		}
		return finishedEvent(m.Advance(m.clock + time.Minute)).CachedTokens
	}
	if got := hits("a"); got != 0 {
		t.Fatalf("cold start found %d tokens", got)
	}
	if got, want := hits("b"), len(request.PromptBlocks)*8; got != want {
		t.Fatalf("found %d cached tokens, want %d", got, want)
	}
	request.ResumedTokens = 20
	if got, want := hits("c"), (request.PromptTokens+20)/8*8; got != want {
		t.Fatalf("resume found %d cached tokens, want %d", got, want)
	}
	_ = m.Order(m.clock, Order{Kind: OrderStage, Weights: secondWeights})
	_ = m.CompleteStaging(m.clock, secondWeights, true)
	_ = m.Order(m.clock, Order{Kind: OrderActivate, Weights: secondWeights})
	m.Advance(m.clock + time.Second)
	if got := hits("d"); got != 0 {
		t.Fatalf("found %d tokens of the old weights", got)
	}
}

func TestFeedDelaysAndDropsEvents(t *testing.T) {
	feed := NewFeed(time.Second, 3, 100)
	for i := range 6 {
		feed.Append(time.Duration(i)*time.Second, CacheEvent{Sequence: uint64(i + 1)})
	}
	var numbers []uint64
	for _, e := range feed.After(4*time.Second, 1, 10) {
		numbers = append(numbers, e.Sequence)
	}
	if want := []uint64{2, 4}; !slices.Equal(numbers, want) {
		t.Fatalf("visible %v, want %v", numbers, want)
	}
}

func TestLaggedDelaysValues(t *testing.T) {
	lagged := NewLagged[int](time.Second)
	for i := range 5 {
		lagged.Put(time.Duration(i)*time.Second, i)
	}
	if got, ok := lagged.Get(4 * time.Second); !ok || got != 3 {
		t.Fatalf("got %d %v, want 3", got, ok)
	}
}

func TestStoreRateIsShared(t *testing.T) {
	store := NewStore(100)
	store.Reserve(0, 100)
	if got := store.Reserve(0, 200); got != 3*time.Second {
		t.Fatalf("second transfer ends at %v", got)
	}
}

func TestAdapterSwapKeepsBase(t *testing.T) {
	m := New(Config{Weights: firstWeights})
	bulletins := Weights{Adapter: "bulletins", Version: 3}
	request := Request{ID: "a", Adapter: "bulletins", PromptTokens: 4, OutputTokens: 100}
	if err := m.Submit(0, request); !errors.Is(err, ErrAdapterNotLoaded) {
		t.Fatalf("got %v", err)
	}
	_ = m.Order(0, Order{Kind: OrderLoadAdapter, Weights: bulletins})
	m.Advance(time.Second)
	if err := m.Submit(time.Second, request); err != nil {
		t.Fatal(err)
	}
	bulletins.Version = 4
	_ = m.Order(time.Second, Order{Kind: OrderStage, Weights: bulletins})
	_ = m.CompleteStaging(time.Second, bulletins, true)
	m.Advance(1500 * time.Millisecond)
	if err := m.Order(1500*time.Millisecond, Order{Kind: OrderActivate, Weights: bulletins}); err != nil {
		t.Fatal(err)
	}
	spans := finishedEvent(m.Advance(time.Minute)).Spans
	if len(spans) != 2 || spans[0].Version != 3 || spans[1].Version != 4 || m.Load().Weights != firstWeights {
		t.Fatalf("spans %v, base %v", spans, m.Load().Weights)
	}
}

// newWithStaged returns a model on which the second weights are staged.
func newWithStaged(t *testing.T, config Config) *Model {
	t.Helper()
	m := New(config)
	_ = m.Order(0, Order{Kind: OrderStage, Weights: secondWeights})
	if err := m.CompleteStaging(0, secondWeights, true); err != nil {
		t.Fatal(err)
	}
	return m
}

func TestMixedWeightStateIsNotReused(t *testing.T) {
	m := newWithStaged(t, Config{Weights: firstWeights, BlockTokens: 64, CacheGenerated: true})
	request := Request{ID: "a", PromptTokens: 3, OutputTokens: 200}
	_ = m.Submit(0, request)
	m.Advance(50 * time.Millisecond)
	_ = m.Order(50*time.Millisecond, Order{Kind: OrderActivate, Weights: secondWeights})
	m.Advance(time.Minute)
	request.ID, request.ResumedTokens = "b", 150
	_ = m.Submit(time.Minute, request)
	if done := finishedEvent(m.Advance(2 * time.Minute)); done.CachedTokens != 0 {
		t.Fatalf("found %d tokens computed partly with the old weights", done.CachedTokens)
	}
}

func TestFullyCachedPromptComputesLastToken(t *testing.T) {
	m := New(Config{BlockTokens: 4})
	for _, id := range []string{"a", "b"} {
		_ = m.Submit(m.clock, Request{ID: id, PromptTokens: 8, PromptBlocks: []uint64{1, 2}, OutputTokens: 2})
		m.Advance(m.clock + time.Minute)
	}
	if got := m.Load().Totals.Prefilled; got != 9 {
		t.Fatalf("computed %d prompt tokens, want 8 and then 1", got)
	}
}
