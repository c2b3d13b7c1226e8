package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/port"
)

// jobFile is the JSON form of a job.
type jobFile struct {
	Job           string     `json:"job"`
	Host          string     `json:"host"`
	Path          string     `json:"path"`
	Model         string     `json:"model"`
	MinVersion    uint64     `json:"min_version"`
	DesiredGroups int        `json:"wanted_groups"`
	Step          uint64     `json:"step"`
	OneVersion    bool       `json:"one_version"`
	Items         []itemFile `json:"items"`
}

// itemFile is one request of a job. Body is base64 in JSON.
type itemFile struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Group   string            `json:"group"`
	Scorer  *scorerFile       `json:"scorer"`
}

// scorerFile is the request that scores an item's text.
type scorerFile struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// readJobFile decodes and validates a job. Errors name the invalid field.
func readJobFile(content []byte) (*jobstate.Submission, error) {
	var file jobFile
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return nil, invalidJob("%v", err)
	}
	return file.submission()
}

func invalidJob(format string, arguments ...any) error {
	return port.NewError(port.NotRun, port.CodeInvalid, "job: %s", fmt.Sprintf(format, arguments...))
}

func (f *jobFile) submission() (*jobstate.Submission, error) {
	for _, field := range []struct{ name, value string }{{"job", f.Job}, {"host", f.Host}, {"path", f.Path}} {
		if field.value == "" {
			return nil, invalidJob("%s is missing", field.name)
		}
	}
	if len(f.Items) == 0 {
		return nil, invalidJob("items is empty")
	}
	submission := &jobstate.Submission{
		ID: f.Job, Host: f.Host, Path: f.Path, Model: f.Model, MinVersion: f.MinVersion,
		Desired: f.DesiredGroups, Step: f.Step, OneVersion: f.OneVersion,
	}
	seen := map[string]bool{}
	for i, item := range f.Items {
		if item.ID == "" || item.Path == "" || seen[item.ID] {
			return nil, invalidJob("items[%d]: a unique id and a path are required", i)
		}
		seen[item.ID] = true
		submission.Items = append(submission.Items, item.item())
	}
	return submission, nil
}

func (f *itemFile) item() jobstate.Item {
	item := jobstate.Item{ID: f.ID, Path: f.Path, Body: f.Body, Group: f.Group}
	for _, name := range slices.Sorted(maps.Keys(f.Headers)) {
		item.Headers = append(item.Headers, jobstate.Header{Name: name, Value: f.Headers[name]})
	}
	if f.Scorer != nil {
		item.Scorer = &jobstate.Scorer{ID: f.Scorer.ID, Host: f.Scorer.Host, Path: f.Scorer.Path, Body: f.Scorer.Body}
	}
	return item
}

// jobSubmitCommand submits a job.
type jobSubmitCommand struct {
	File      string `arg:"" type:"existingfile" help:"JSON file with the job."`
	siteFlags `embed:""`
}

// submittedJob is the output of job submit.
type submittedJob struct {
	Job string `json:"job"`
	// AlreadyStored is set if the job was stored before this submission.
	AlreadyStored bool `json:"before"`
}

// Run submits a job. Submitting the same job again succeeds.
func (c *jobSubmitCommand) Run(std streams) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return usageError{err}
	}
	submission, err := readJobFile(content)
	if err != nil {
		return usageError{err}
	}
	client, view, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	if view.Table == nil || view.Table.Lookup(submission.Host, submission.Path) == nil {
		return port.NewError(port.NotRun, port.CodeNotFound, "no route matches host %q and path %q", submission.Host, submission.Path)
	}
	outcome, err := client.jobs.Submit(ctx, submission, routing.AllowedRegions{})
	if err != nil {
		return err
	}
	accepted := submittedJob{Job: submission.ID, AlreadyStored: outcome == jobstate.AlreadyAccepted}
	return output(c.outputFlags, std, accepted, func(lines *table, accepted submittedJob) {
		lines.row("kept", accepted.Job, "before:", accepted.AlreadyStored)
	})
}
