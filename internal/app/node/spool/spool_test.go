package spool_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/spool"
	"github.com/loomgrade/loomgrade/internal/port"
)

func open(t *testing.T, folder string, maxBytes int64) (*spool.Spool, []port.Decision) {
	t.Helper()
	opened, kept, err := spool.Open(spool.Options{Folder: folder, MaxBytes: maxBytes, SyncEvery: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return opened, kept
}

func TestDecisionsSurviveARestartAndATornEnd(t *testing.T) {
	folder := t.TempDir()
	first, _ := open(t, folder, 1<<20)
	for number := range 3 {
		first.Append(port.Decision{Kind: port.DecisionPlaced, Subject: fmt.Sprint(number)})
	}
	first.Close()
	path := filepath.Join(folder, "decisions.current")
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content[:len(content)-2], 0o600); err != nil {
		t.Fatal(err)
	}
	second, kept := open(t, folder, 1<<20)
	if len(kept) != 2 || kept[1].Subject != "1" {
		t.Fatalf("kept %v", kept)
	}
	second.Append(port.Decision{Subject: "after"})
	second.Close()
	third, kept := open(t, folder, 1<<20)
	defer third.Close()
	if len(kept) != 3 || kept[2].Subject != "after" {
		t.Fatalf("kept after the torn end %v", kept)
	}
}

func TestSpoolIsBounded(t *testing.T) {
	folder := t.TempDir()
	const maxBytes = 4096
	for round := range 20 {
		opened, _ := open(t, folder, maxBytes)
		for range 10 {
			opened.Append(port.Decision{Subject: fmt.Sprintf("subject-%d", round), Detail: "some detail of a decision"})
		}
		opened.Close()
	}
	total := int64(0)
	files, _ := os.ReadDir(folder)
	for _, file := range files {
		information, _ := file.Info()
		total += information.Size()
	}
	if total > maxBytes {
		t.Errorf("%d bytes on disk, bound %d", total, maxBytes)
	}
	last, kept := open(t, folder, maxBytes)
	defer last.Close()
	if len(kept) == 0 || kept[len(kept)-1].Subject != "subject-19" {
		t.Errorf("the newest decisions are gone")
	}
}
