package requestkeys_test

import (
	"errors"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/requestkeys"
)

var start = time.Unix(1_000_000, 0)

func TestRepeatedRequestJoinsAndReturnsOutcome(t *testing.T) {
	store := requestkeys.New[string](time.Minute, 10)
	attempt, first, err := store.Begin("key", 1, start)
	if err != nil || !first {
		t.Fatalf("first request: first %v, error %v", first, err)
	}
	joined, first, err := store.Begin("key", 1, start)
	if err != nil || first || joined != attempt {
		t.Fatalf("repeated request did not join: first %v, error %v", first, err)
	}
	attempt.Finish("answer", start)
	<-joined.Done()
	if joined.Outcome() != "answer" {
		t.Errorf("outcome %q", joined.Outcome())
	}
	late, first, _ := store.Begin("key", 1, start.Add(59*time.Second))
	if first || late.Outcome() != "answer" {
		t.Errorf("repeated request before expiry: first %v", first)
	}
	if _, first, _ = store.Begin("key", 1, start.Add(time.Minute)); !first {
		t.Error("an expired outcome was returned")
	}
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	store := requestkeys.New[string](time.Minute, 10)
	_, _, _ = store.Begin("key", 1, start)
	if _, _, err := store.Begin("key", 2, start); !errors.Is(err, requestkeys.ErrKeyReused) {
		t.Errorf("error %v", err)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	store := requestkeys.New[int](time.Minute, 2)
	one, _, _ := store.Begin("one", 1, start)
	_, _, _ = store.Begin("two", 1, start)
	if _, _, err := store.Begin("three", 1, start); !errors.Is(err, requestkeys.ErrFull) {
		t.Fatalf("error %v", err)
	}
	one.Discard(0)
	if _, first, err := store.Begin("three", 1, start); err != nil || !first {
		t.Errorf("after Discard: first %v, error %v", first, err)
	}
	if store.Len() != 2 {
		t.Errorf("%d keys", store.Len())
	}
}

func TestUpdateAndRemoveAffectOnlyFinishedAttempts(t *testing.T) {
	store := requestkeys.New[string](time.Minute, 10)
	attempt, _, _ := store.Begin("key", 1, start)
	store.Update("key", 1, "too early")
	store.Remove("key", 1)
	attempt.Finish("unknown", start)
	store.Update("key", 2, "other request")
	store.Update("key", 1, "answer")
	if again, first, _ := store.Begin("key", 1, start); first || again.Outcome() != "answer" {
		t.Fatalf("outcome %q, first %v", again.Outcome(), first)
	}
	store.Remove("key", 1)
	if _, first, _ := store.Begin("key", 1, start); !first {
		t.Error("a removed key was found")
	}
}
