package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/testkit"
)

// request gives the fingerprint of a request that differs by its body.
func request(body string) Fingerprint {
	r := Request{Method: "POST", Host: "a.example", Target: "/x", Body: []byte(body)}
	return r.Fingerprint()
}

func ended(body string, replicas ...string) (events []Event) {
	for _, replica := range replicas {
		events = append(events, Event{Kind: EventEnded, Fingerprint: request(body), Replica: replica})
	}
	return events
}

func served(body string) Event { return Event{Kind: EventServed, Fingerprint: request(body)} }

func trial(body string, number int, sender string) Event {
	return Event{Kind: EventTrial, Fingerprint: request(body), Trial: number, Sender: sender}
}

// withheld lists the bodies of those that are withheld.
func withheld(l *Ledger, bodies ...string) (found []string) {
	index := NewIndex(l.Shared())
	for _, body := range bodies {
		suspect := index.Find(&Request{Method: "POST", Host: "a.example", Target: "/x", Body: []byte(body)})
		if suspect != nil && suspect.Withheld() {
			found = append(found, body)
		}
	}
	return found
}

func TestWhatIsWithheld(t *testing.T) {
	fatal := ended("fatal", "r1", "r2", "r3")
	for name, row := range map[string]struct {
		events []Event
		want   []string
	}{
		"nothing":                                {},
		"two replicas ended under it":            {events: fatal[:2]},
		"three did":                              {events: fatal, want: []string{"fatal"}},
		"one replica's end was seen three times": {events: ended("fatal", "r1", "r1", "r1")},
		"it was served in between":               {events: slices.Concat(fatal[:2], []Event{served("fatal")}, fatal[2:])},
		"another body ended others":              {events: slices.Concat(fatal[:2], ended("beside", "r3", "r4"))},
		"a replica ended by itself under another one": {
			events: slices.Concat(ended("beside", "r0"), fatal, ended("beside", "r9"), []Event{served("beside")}), want: []string{"fatal"},
		},
		"one that ran beside it was served since": {
			events: slices.Concat(fatal, ended("beside", "r1", "r2", "r3"), []Event{served("beside")}), want: []string{"fatal"},
		},
		"a replica had not ended": {events: append(fatal, Event{Kind: EventAlive, Replica: "r2"})},
		"a replica of before had not ended": {
			events: slices.Concat(fatal, ended("fatal", "r4"), []Event{{Kind: EventAlive, Replica: "r1"}}), want: []string{"fatal"},
		},
		"an operator released it": {events: append(fatal, Event{Kind: EventReleased, Fingerprint: request("fatal")})},
		"its trials ended replicas too": {
			events: slices.Concat(fatal, []Event{trial("fatal", 1, "a")}, ended("fatal", "r4"), []Event{trial("fatal", 2, "a")}, ended("fatal", "r5")),
			want:   []string{"fatal"},
		},
		"its trial was served": {events: append(fatal, trial("fatal", 1, "a"), served("fatal"))},
	} {
		t.Run(name, func(t *testing.T) {
			var ledger Ledger
			for _, event := range row.events {
				ledger.Apply(event)
			}
			if got := withheld(&ledger, "fatal", "beside"); !slices.Equal(got, row.want) {
				t.Errorf("withheld %v, want %v", got, row.want)
			}
		})
	}
}

func TestATrialIsOneSendOnTheWholeSite(t *testing.T) {
	var ledger Ledger
	for _, event := range ended("fatal", "r1", "r2", "r3") {
		ledger.Apply(event)
	}
	for i, row := range []struct {
		event Event
		taken bool
	}{
		{trial("fatal", 2, "a"), false},
		{trial("fatal", 1, "a"), true},
		{trial("fatal", 1, "b"), false},
		{trial("fatal", 1, "a"), true}, // its answer was lost
		{trial("fatal", 2, "b"), true},
		{trial("fatal", 1, "a"), false},
		{trial("fatal", 3, "a"), false},
		{trial("other", 1, "a"), false},
	} {
		if _, taken := ledger.Apply(row.event); taken != row.taken {
			t.Errorf("step %d: taken %v", i, taken)
		}
	}
}

func TestTheLedgerIsBounded(t *testing.T) {
	var ledger Ledger
	for _, event := range ended("fatal", "r1", "r2", "r3") {
		ledger.Apply(event)
	}
	for i := range 3 * maxSuspects {
		ledger.Apply(ended(fmt.Sprint("beside ", i), "r1")[0])
	}
	if len(ledger.Suspects) != maxSuspects || len(withheld(&ledger, "fatal")) != 1 {
		t.Errorf("%d suspects, withheld %v", len(ledger.Suspects), withheld(&ledger, "fatal"))
	}
}

// TestLedgersOfTheSameEventsAreEqual also holds that what was given out does not change,
// that Apply tells of every change of it, and that a snapshot keeps all.
func TestLedgersOfTheSameEventsAreEqual(t *testing.T) {
	testkit.Check(t, 31, func(r *rapid.T) {
		var ledger, restored Ledger
		events := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) Event {
			return Event{
				Kind:        rapid.SampledFrom([]EventKind{EventEnded, EventEnded, EventEnded, EventServed, EventAlive, EventTrial, EventReleased}).Draw(r, "kind"),
				Fingerprint: request(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "body")),
				Replica:     rapid.SampledFrom([]string{"r1", "r2", "r3", "r4", "r5"}).Draw(r, "replica"),
				Trial:       rapid.IntRange(1, 3).Draw(r, "trial"), Sender: rapid.SampledFrom([]string{"x", "y"}).Draw(r, "sender"),
			}
		}), 1, 40).Draw(r, "events")
		for _, event := range events {
			before := ledger.Shared()
			text := fmt.Sprint(before)
			changed, _ := ledger.Apply(event)
			if fmt.Sprint(before) != text {
				r.Fatalf("%v changed what was given out", event)
			}
			if !changed && fmt.Sprint(ledger.Shared()) != text {
				r.Fatalf("%v changed what is shared and does not say so", event)
			}
			for _, suspect := range ledger.Suspects {
				if suspect.Trials > MostTrials || len(suspect.Replicas) == 0 {
					r.Fatalf("%+v", suspect)
				}
			}
			data, err := cbor.Marshal(ledger)
			if err != nil {
				r.Fatal(err)
			}
			restored = Ledger{}
			if err := cbor.Unmarshal(data, &restored); err != nil || fmt.Sprint(restored.Suspects) != fmt.Sprint(ledger.Suspects) {
				r.Fatalf("restored %v, %v", restored, err)
			}
		}
	})
}

// BenchmarkFind asks for requests of 1 KB beside 64 suspects, none of which they are.
func BenchmarkFind(b *testing.B) {
	var suspects []Suspect
	for i := range 64 {
		suspects = append(suspects, Suspect{Fingerprint: request(fmt.Sprint(i)), Replicas: []string{"r"}})
	}
	index := NewIndex(suspects)
	asked := Request{Method: "POST", Host: "a.example", Target: "/other", Body: make([]byte, 1024)}
	for b.Loop() {
		if index.Find(&asked) != nil {
			b.Fatal("found")
		}
	}
}
