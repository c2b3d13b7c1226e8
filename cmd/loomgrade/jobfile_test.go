package main

import (
	"strings"
	"testing"
)

func TestReadJobFile(t *testing.T) {
	const complete = `{"job":"j","host":"h","path":"/p/","model":"m","min_version":3,"wanted_groups":1,"items":[
		{"id":"a","path":"/p/a","group":"g","headers":{"X-B":"2","X-A":"1"},"body":"eA==","scorer":{"id":"s","host":"h","path":"/s","body":"eQ=="}}]}`
	for _, row := range []struct{ name, file, want string }{
		{"complete", complete, ""},
		{"invalid JSON", `{"job":`, "unexpected EOF"},
		{"unknown field", `{"job":"j","jobs":1}`, "jobs"},
		{"no id", `{"host":"h","path":"/p/","items":[{"id":"a","path":"/p"}]}`, "job is missing"},
		{"no host", `{"job":"j","path":"/p/","items":[{"id":"a","path":"/p"}]}`, "host is missing"},
		{"no path", `{"job":"j","host":"h","items":[{"id":"a","path":"/p"}]}`, "path is missing"},
		{"no items", `{"job":"j","host":"h","path":"/p/"}`, "items"},
		{"item without a path", `{"job":"j","host":"h","path":"/p/","items":[{"id":"a"}]}`, "items[0]"},
		{"duplicate item id", `{"job":"j","host":"h","path":"/p/","items":[{"id":"a","path":"/p"},{"id":"a","path":"/p"}]}`, "items[1]"},
		{"body is not base64", `{"job":"j","host":"h","path":"/p/","items":[{"id":"a","path":"/p","body":"?"}]}`, "base64"},
	} {
		submission, err := readJobFile([]byte(row.file))
		if row.want == "" {
			if err != nil {
				t.Errorf("%s: %v", row.name, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), row.want) {
			t.Errorf("%s: submission %+v, error %v", row.name, submission, err)
		}
	}
	submission, err := readJobFile([]byte(complete))
	if err != nil {
		t.Fatal(err)
	}
	item := submission.Items[0]
	if submission.ID != "j" || submission.Desired != 1 || string(item.Body) != "x" || item.Headers[0].Name != "X-A" || string(item.Scorer.Body) != "y" {
		t.Errorf("decoded job: %+v", submission)
	}
}
