package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/testkit"
)

// request returns the fingerprint of a request with the given body.
func request(body string) Fingerprint {
	r := Request{Method: "POST", Host: "a.example", Target: "/x", Body: []byte(body)}
	return r.Fingerprint()
}

func crashed(body string, replicas ...string) (events []Event) {
	for _, replica := range replicas {
		events = append(events, Event{Kind: EventCrashed, Fingerprint: request(body), Replica: replica})
	}
	return events
}

func served(body string) Event { return Event{Kind: EventServed, Fingerprint: request(body)} }

func trial(body string, number int, sender string) Event {
	return Event{Kind: EventTrial, Fingerprint: request(body), Trial: number, Sender: sender}
}

// withheld returns the bodies of the withheld requests.
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

func TestWithheldRequests(t *testing.T) {
	fatal := crashed("fatal", "r1", "r2", "r3")
	for name, row := range map[string]struct {
		events []Event
		want   []string
	}{
		"no events":                           {},
		"two replicas crashed":                {events: fatal[:2]},
		"three replicas crashed":              {events: fatal, want: []string{"fatal"}},
		"one crash reported three times":      {events: crashed("fatal", "r1", "r1", "r1")},
		"served between crashes":              {events: slices.Concat(fatal[:2], []Event{served("fatal")}, fatal[2:])},
		"further crashes during another body": {events: slices.Concat(fatal[:2], crashed("bystander", "r3", "r4"))},
		"single crashes during another request": {
			events: slices.Concat(crashed("bystander", "r0"), fatal, crashed("bystander", "r9"), []Event{served("bystander")}), want: []string{"fatal"},
		},
		"concurrent request was served since": {
			events: slices.Concat(fatal, crashed("bystander", "r1", "r2", "r3"), []Event{served("bystander")}), want: []string{"fatal"},
		},
		"replica was alive": {events: append(fatal, Event{Kind: EventAlive, Replica: "r2"})},
		"one of four replicas was alive": {
			events: slices.Concat(fatal, crashed("fatal", "r4"), []Event{{Kind: EventAlive, Replica: "r1"}}), want: []string{"fatal"},
		},
		"released by an operator": {events: append(fatal, Event{Kind: EventReleased, Fingerprint: request("fatal")})},
		"crashes during trials": {
			events: slices.Concat(fatal, []Event{trial("fatal", 1, "a")}, crashed("fatal", "r4"), []Event{trial("fatal", 2, "a")}, crashed("fatal", "r5")),
			want:   []string{"fatal"},
		},
		"trial was served": {events: append(fatal, trial("fatal", 1, "a"), served("fatal"))},
	} {
		t.Run(name, func(t *testing.T) {
			var ledger Ledger
			for _, event := range row.events {
				ledger.Apply(event)
			}
			if got := withheld(&ledger, "fatal", "bystander"); !slices.Equal(got, row.want) {
				t.Errorf("withheld %v, want %v", got, row.want)
			}
		})
	}
}

func TestTrialIsGrantedOnce(t *testing.T) {
	var ledger Ledger
	for _, event := range crashed("fatal", "r1", "r2", "r3") {
		ledger.Apply(event)
	}
	for i, row := range []struct {
		event   Event
		applied bool
	}{
		{trial("fatal", 2, "a"), false},
		{trial("fatal", 1, "a"), true},
		{trial("fatal", 1, "b"), false},
		{trial("fatal", 1, "a"), true}, // retry after a lost response
		{trial("fatal", 2, "b"), true},
		{trial("fatal", 1, "a"), false},
		{trial("fatal", 3, "a"), false},
		{trial("other", 1, "a"), false},
	} {
		if _, applied := ledger.Apply(row.event); applied != row.applied {
			t.Errorf("step %d: applied %v", i, applied)
		}
	}
}

func TestLedgerSizeIsLimited(t *testing.T) {
	var ledger Ledger
	for _, event := range crashed("fatal", "r1", "r2", "r3") {
		ledger.Apply(event)
	}
	for i := range 3 * maxSuspects {
		ledger.Apply(crashed(fmt.Sprint("bystander ", i), "r1")[0])
	}
	if len(ledger.Suspects) != maxSuspects || len(withheld(&ledger, "fatal")) != 1 {
		t.Errorf("%d suspects, withheld %v", len(ledger.Suspects), withheld(&ledger, "fatal"))
	}
}

// TestLedgersOfTheSameEventsAreEqual checks that returned suspects do not change, that Apply
// reports every change of them, and that a snapshot preserves the ledger.
func TestLedgersOfTheSameEventsAreEqual(t *testing.T) {
	testkit.Check(t, 31, func(r *rapid.T) {
		var ledger, restored Ledger
		events := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) Event {
			return Event{
				Kind:        rapid.SampledFrom([]EventKind{EventCrashed, EventCrashed, EventCrashed, EventServed, EventAlive, EventTrial, EventReleased}).Draw(r, "kind"),
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
				r.Fatalf("%v changed the returned suspects", event)
			}
			if !changed && fmt.Sprint(ledger.Shared()) != text {
				r.Fatalf("%v changed the shared suspects without reporting it", event)
			}
			for _, suspect := range ledger.Suspects {
				if suspect.Trials > MaxTrials || len(suspect.Replicas) == 0 {
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

// BenchmarkFind measures looking up a request of 1 KB that matches none of 64 suspects.
func BenchmarkFind(b *testing.B) {
	var suspects []Suspect
	for i := range 64 {
		suspects = append(suspects, Suspect{Fingerprint: request(fmt.Sprint(i)), Replicas: []string{"r"}})
	}
	index := NewIndex(suspects)
	unmatched := Request{Method: "POST", Host: "a.example", Target: "/other", Body: make([]byte, 1024)}
	for b.Loop() {
		if index.Find(&unmatched) != nil {
			b.Fatal("found")
		}
	}
}
