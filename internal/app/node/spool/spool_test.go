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
	opened, stored, err := spool.Open(spool.Options{Folder: folder, MaxBytes: maxBytes, SyncEvery: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return opened, stored
}

func TestDecisionsSurviveRestartAndIncompleteRecord(t *testing.T) {
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
	second, stored := open(t, folder, 1<<20)
	if len(stored) != 2 || stored[1].Subject != "1" {
		t.Fatalf("stored decisions %v", stored)
	}
	second.Append(port.Decision{Subject: "after"})
	second.Close()
	third, stored := open(t, folder, 1<<20)
	defer third.Close()
	if len(stored) != 3 || stored[2].Subject != "after" {
		t.Fatalf("stored decisions after truncation %v", stored)
	}
}

func TestSpoolIsBounded(t *testing.T) {
	folder := t.TempDir()
	const maxBytes = 4096
	for run := range 20 {
		opened, _ := open(t, folder, maxBytes)
		for range 10 {
			opened.Append(port.Decision{Subject: fmt.Sprintf("subject-%d", run), Detail: "some detail of a decision"})
		}
		opened.Close()
	}
	total := int64(0)
	files, _ := os.ReadDir(folder)
	for _, file := range files {
		info, _ := file.Info()
		total += info.Size()
	}
	if total > maxBytes {
		t.Errorf("%d bytes on disk, limit %d", total, maxBytes)
	}
	last, stored := open(t, folder, maxBytes)
	defer last.Close()
	if len(stored) == 0 || stored[len(stored)-1].Subject != "subject-19" {
		t.Errorf("the newest decisions are missing")
	}
}
