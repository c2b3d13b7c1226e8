package requestkeys_test

import (
	"errors"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/requestkeys"
)

var start = time.Unix(1_000_000, 0)

func TestResendJoinsAndGetsTheOutcome(t *testing.T) {
	memory := requestkeys.New[string](time.Minute, 10)
	attempt, first, err := memory.Begin("key", 1, start)
	if err != nil || !first {
		t.Fatalf("first request: first %v, error %v", first, err)
	}
	joined, first, err := memory.Begin("key", 1, start)
	if err != nil || first || joined != attempt {
		t.Fatalf("resend did not join: first %v, error %v", first, err)
	}
	attempt.Finish("answer", start)
	<-joined.Done()
	if joined.Outcome() != "answer" {
		t.Errorf("outcome %q", joined.Outcome())
	}
	late, first, _ := memory.Begin("key", 1, start.Add(59*time.Second))
	if first || late.Outcome() != "answer" {
		t.Errorf("late resend: first %v", first)
	}
	if _, first, _ = memory.Begin("key", 1, start.Add(time.Minute)); !first {
		t.Error("an outcome past its time was kept")
	}
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	memory := requestkeys.New[string](time.Minute, 10)
	_, _, _ = memory.Begin("key", 1, start)
	if _, _, err := memory.Begin("key", 2, start); !errors.Is(err, requestkeys.ErrOtherRequest) {
		t.Errorf("error %v", err)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	memory := requestkeys.New[int](time.Minute, 2)
	one, _, _ := memory.Begin("one", 1, start)
	_, _, _ = memory.Begin("two", 1, start)
	if _, _, err := memory.Begin("three", 1, start); !errors.Is(err, requestkeys.ErrFull) {
		t.Fatalf("error %v", err)
	}
	one.Forget(0)
	if _, first, err := memory.Begin("three", 1, start); err != nil || !first {
		t.Errorf("after Forget: first %v, error %v", first, err)
	}
	if memory.Len() != 2 {
		t.Errorf("%d keys", memory.Len())
	}
}

func TestReviseAndDropConcernFinishedAttempts(t *testing.T) {
	memory := requestkeys.New[string](time.Minute, 10)
	attempt, _, _ := memory.Begin("key", 1, start)
	memory.Revise("key", 1, "too early")
	memory.Drop("key", 1)
	attempt.Finish("unknown", start)
	memory.Revise("key", 2, "other request")
	memory.Revise("key", 1, "answer")
	if again, first, _ := memory.Begin("key", 1, start); first || again.Outcome() != "answer" {
		t.Fatalf("outcome %q, first %v", again.Outcome(), first)
	}
	memory.Drop("key", 1)
	if _, first, _ := memory.Begin("key", 1, start); !first {
		t.Error("a dropped key was kept")
	}
}
