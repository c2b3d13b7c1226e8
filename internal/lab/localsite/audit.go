package localsite

import (
	"fmt"
	"strings"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobstate"
)

// cancelGrace is how long after the acknowledged end of a job its items may still start
// on a replica.
const cancelGrace = time.Second

// Violation describes a broken guarantee of a job or an item.
type Violation struct {
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// String returns the violation as one line.
func (v Violation) String() string { return v.Subject + ": " + v.Detail }

// audit checks what the clients read and what the replicas ran.
func audit(records []*jobRecord, runs []run) []Violation {
	var found []Violation
	ownerOf := map[string]*jobRecord{}
	for _, record := range records {
		for _, item := range record.submission.Items {
			ownerOf[item.ID] = record
		}
		found = append(found, auditJob(record)...)
	}
	for _, ran := range runs {
		owner := ownerOf[strings.TrimPrefix(ran.ID, scorerID(""))]
		switch {
		case owner == nil:
			found = append(found, Violation{ran.ID, "ran without having been submitted"})
		case !owner.endedAt.IsZero() && ran.At.After(owner.endedAt.Add(cancelGrace)):
			found = append(found, Violation{ran.ID, fmt.Sprintf("ran %v after the end of its job", ran.At.Sub(owner.endedAt))})
		}
	}
	return found
}

func auditJob(record *jobRecord) []Violation {
	id := record.submission.ID
	var found []Violation
	for _, fault := range record.faults {
		found = append(found, Violation{id, fault})
	}
	items, seen := map[string]bool{}, map[string]bool{}
	for _, item := range record.submission.Items {
		items[item.ID] = true
	}
	for _, result := range record.results {
		if !items[result.ID] {
			found = append(found, Violation{id, "lists " + result.ID + ", which is not an item of it"})
		}
		if seen[result.ID] {
			found = append(found, Violation{id, "lists " + result.ID + " twice"})
		}
		seen[result.ID] = true
		found = append(found, auditResult(record, result)...)
	}
	return found
}

func auditResult(record *jobRecord, result jobstate.ResultView) []Violation {
	if result.Errored {
		return nil
	}
	var found []Violation
	if result.Text != completeText(result.ID) {
		found = append(found, Violation{result.ID, fmt.Sprintf("text %q is not the complete text", result.Text)})
	}
	if result.Score != signatureOf(scorerID(result.ID)) {
		found = append(found, Violation{result.ID, fmt.Sprintf("score %q is not the scorer's answer", result.Score)})
	}
	if len(result.Versions) == 0 {
		found = append(found, Violation{result.ID, "lists no version"})
	}
	for _, version := range result.Versions {
		if version < record.submission.MinVersion {
			found = append(found, Violation{result.ID, fmt.Sprintf("version %d is older than %d", version, record.submission.MinVersion)})
		}
	}
	return found
}

// completeText returns the complete text of an item.
func completeText(item string) string {
	var events []string
	for event := 1; event <= textEvents; event++ {
		events = append(events, eventData(item, event))
	}
	return strings.Join(events, "\n")
}
