package sim

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// builtWorld is a world that has not run.
func builtWorld(t *testing.T, site Site, variant Variant) *world {
	t.Helper()
	options := shortRun(site, variant, 5)
	w := &world{options: options, site: &options.Site, byID: make(map[port.ReplicaID]*replica), books: newBooks()}
	if err := w.build(); err != nil {
		t.Fatal(err)
	}
	return w
}

func TestAuditFindsViolations(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(sample *coordinator.DeliveredSample, pool *samplePool)
		twice bool
		found bool
	}{
		{name: "nothing wrong"},
		{name: "delivered twice", twice: true, found: true},
		{name: "a token too few", found: true, spoil: func(s *coordinator.DeliveredSample, _ *samplePool) { s.Tokens-- }},
		{name: "another version than the engine's", found: true,
			spoil: func(s *coordinator.DeliveredSample, _ *samplePool) {
				s.Spans = []port.Span{{Version: 9, Tokens: s.Tokens}}
			}},
		{name: "over the bound", found: true, spoil: func(s *coordinator.DeliveredSample, p *samplePool) {
			p.trainer.version = s.Spans[0].Version + port.WeightVersion(p.settings.Sampling.StalenessBound) + 1
		}},
		{name: "never generated", found: true, spoil: func(s *coordinator.DeliveredSample, _ *samplePool) { s.ID.Sequence++ }},
		{name: "prompt delivered before", found: true,
			spoil: func(s *coordinator.DeliveredSample, p *samplePool) { p.trainer.seen[s.Prompt.Index] = true }},
		{name: "half a group", found: true,
			spoil: func(_ *coordinator.DeliveredSample, p *samplePool) { p.settings.Sampling.GroupSize = 2 }},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			site := Inkwell()
			site.Trainers[0].Sampling.BatchSamples, site.Trainers[0].Sampling.GroupSize = 1, 1
			pool := builtWorld(t, site, Variant{Routing: RoutingLoomgrade}).pools[0]
			id := port.SampleID{Pool: pool.settings.Pool, Epoch: 1, Sequence: 1}
			record := pool.recordOf(&coordinator.StartSample{ID: id, Prompt: port.Prompt{Index: 4}})
			spans := []port.Span{{Version: 3, Tokens: record.length}}
			record.ran(spans)
			pool.trainer.version = 3
			sample := coordinator.DeliveredSample{ID: id, Prompt: port.Prompt{Index: 4}, Tokens: record.length, Spans: spans}
			if testCase.spoil != nil {
				testCase.spoil(&sample, pool)
			}
			batch := coordinator.Deliver{Number: 1, Samples: []coordinator.DeliveredSample{sample}}
			pool.audit(batch, pool.trainer.version)
			if testCase.twice {
				pool.audit(batch, pool.trainer.version)
			}
			if found := len(pool.world.books.violations) > 0; found != testCase.found {
				t.Errorf("violations %v", pool.world.books.violations)
			}
		})
	}
}

// All variants of a seed draw the same lengths, prompts and arrivals.
func TestVariantsDrawEqualWorkload(t *testing.T) {
	first := builtWorld(t, Marea(), variants()[0])
	for _, variant := range variants()[1:] {
		other := builtWorld(t, Marea(), variant)
		for index, pool := range first.pools {
			for prompt := range port.PromptIndex(20) {
				length, key := pool.lengthOf(prompt, 3)
				otherLength, otherKey := other.pools[index].lengthOf(prompt, 3)
				if length != otherLength || key != otherKey {
					t.Fatalf("%s: prompt %d has length %d, not %d", variant.Name, prompt, otherLength, length)
				}
				blocks, otherBlocks := pool.prompt(prompt).blocks, other.pools[index].prompt(prompt).blocks
				if blocks[len(blocks)-1] != otherBlocks[len(otherBlocks)-1] {
					t.Fatalf("%s: prompt %d differs", variant.Name, prompt)
				}
			}
		}
	}
	arrivals := make(map[int]uint64)
	for index, variant := range variants()[:4] {
		w := builtWorld(t, Marea(), variant)
		w.runUntil(10 * time.Second)
		arrivals[index] = w.callers[0].calls
	}
	for index, calls := range arrivals {
		if calls == 0 || calls != arrivals[0] {
			t.Errorf("%s: %d calls of pilots, not %d", variants()[index].Name, calls, arrivals[0])
		}
	}
}

func TestInvalidOptions(t *testing.T) {
	cases := map[string]func(*Options){
		"length":          func(o *Options) { o.Length = 0 },
		"warmup":          func(o *Options) { o.Warmup = o.Length },
		"site.zones":      func(o *Options) { o.Site.Zones = nil },
		"site.engines":    func(o *Options) { o.Site.Engines = 0 },
		"site.trainers":   func(o *Options) { o.Site.Trainers = nil },
		"variant.routing": func(o *Options) { o.Variant.Routing = "sideways" },
		"variant.without": func(o *Options) { o.Variant.Without = []Part{"everything"} },
	}
	for field, spoil := range cases {
		options := shortRun(Inkwell(), Variant{Routing: RoutingLoomgrade}, 1)
		spoil(&options)
		_, err := Run(options)
		if refusal := port.AsError(err); refusal == nil || refusal.Field != field {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// The queue hands out by time, and equal times in the order of entry.
func TestEventQueueKeepsOrder(t *testing.T) {
	var queue eventQueue
	var got []int
	for index := range 200 {
		queue.push(time.Duration(index*7%10), func() { got = append(got, index) })
	}
	last := scheduled{}
	for next, found := queue.pop(); found; next, found = queue.pop() {
		if next.before(&last) {
			t.Fatalf("%v at %v came after %v at %v", next.order, next.at, last.order, last.at)
		}
		last = next
		next.run()
	}
	if len(got) != 200 {
		t.Errorf("%d of 200 ran", len(got))
	}
}
