package main

import (
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// jobCommand submits, shows and ends the jobs of a site.
type jobCommand struct {
	Submit  jobSubmitCommand  `cmd:"" help:"Hand a job in."`
	List    jobListCommand    `cmd:"" help:"List jobs."`
	Results jobResultsCommand `cmd:"" help:"Show the results of a job from a position on."`
	End     jobEndCommand     `cmd:"" help:"End a job: nothing of it runs any more."`
}

// jobListCommand lists jobs.
type jobListCommand struct {
	siteFlags `embed:""`
}

// Run lists the stored jobs, oldest first.
func (c *jobListCommand) Run(std streams) error {
	client, _, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	jobs, err := client.jobs.List(ctx)
	if err != nil {
		return err
	}
	return output(c.outputFlags, std, jobs, func(lines *table, jobs []jobsapi.JobSummary) {
		lines.row("JOB", "MODEL", "STEP", "ITEMS", "RESULTS", "ERRORED", "ENDED")
		for _, job := range jobs {
			lines.row(job.ID, job.Model, job.Step, job.Items, job.Results, job.Errored, job.Ended)
		}
	})
}

// jobResultsCommand shows the results of a job.
type jobResultsCommand struct {
	Job       string `arg:"" help:"Id of the job."`
	From      int    `default:"0" help:"Position of the first result."`
	siteFlags `embed:""`
}

// maxPageBytes limits the text bytes of one page of results.
const maxPageBytes = 1 << 20

// Run shows one page of results.
func (c *jobResultsCommand) Run(std streams) error {
	client, _, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	page, found, err := client.jobs.Page(ctx, jobsapi.PageRequest{Job: c.Job, From: c.From, MaxBytes: maxPageBytes})
	if err != nil {
		return err
	}
	if !found {
		return jobNotFound(c.Job)
	}
	return output(c.outputFlags, std, page, func(lines *table, page jobstate.Page) {
		lines.row("POSITION", "ITEM", "ERRORED", "VERSIONS", "BYTES", "SCORE")
		for i, result := range page.Results {
			lines.row(page.Next-len(page.Results)+i, result.ID, result.Errored, result.Versions, len(result.Text), result.Score)
		}
		lines.row("of", page.Total)
	})
}

// jobEndCommand ends a job.
type jobEndCommand struct {
	Job       string `arg:"" help:"Id of the job."`
	siteFlags `embed:""`
}

// endedJob is the output of job end.
type endedJob struct {
	Job string `json:"job"`
}

// Run ends a job. Ending an ended job succeeds.
func (c *jobEndCommand) Run(std streams) error {
	client, _, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	found, err := client.jobs.End(ctx, jobsapi.EndRequest{Job: c.Job})
	if err != nil {
		return err
	}
	if !found {
		return jobNotFound(c.Job)
	}
	return output(c.outputFlags, std, endedJob{c.Job}, func(lines *table, ended endedJob) { lines.row("ended", ended.Job) })
}

func jobNotFound(id string) error {
	return port.NewError(port.NotRun, port.CodeNotFound, "job %q not found", id)
}
