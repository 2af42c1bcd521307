package command

import (
	"context"
	"time"

	"bergamotwing.example/client"
	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

const (
	jobSubmitHelp = `Submits a job and prints its answer. The job comes from a file (JSON
with comments, payloads in base64) or from --service and --payload. After an
unknown outcome, submit the same job again with --ticket.

Examples:
$ bergamotwing job submit job.jsonc --entries http://127.0.0.1:8080
$ bergamotwing job submit --service postlink --payload '{"echo":"lamp 7"}'`
	jobShowHelp = `Shows the answer to a job, or that it is still running.

Example:
$ bergamotwing job show TICKET`
	jobCancelHelp = `Cancels a job. What has started runs on; nothing more starts.

Example:
$ bergamotwing job cancel TICKET`
)

func jobCommands(out *output) []spec {
	return []spec{
		{name: "submit", short: "Submit a job", long: jobSubmitHelp, run: &jobSubmitCommand{out: out}},
		{name: "show", short: "Show a job's answer", long: jobShowHelp, run: &jobShowCommand{out: out}},
		{name: "cancel", short: "Cancel a job", long: jobCancelHelp, run: &jobShowCommand{out: out, cancel: true}},
	}
}

type jobSubmitCommand struct {
	out        *output
	Options    callerOptions
	Ticket     string        `long:"ticket" description:"submit under this ticket, for the first time or again"`
	Service    string        `long:"service" description:"service of a job without a file"`
	Team       string        `long:"team" description:"team of a job without a file"`
	Deadline   time.Duration `long:"deadline" default:"10s" description:"deadline of a job without a file"`
	Payloads   []string      `long:"payload" value-name:"TEXT" description:"payload of a task; may be given several times"`
	Idempotent bool          `long:"idempotent" description:"the tasks of a job without a file are idempotent"`
	Args       struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute submits the job.
func (c *jobSubmitCommand) Execute([]string) error {
	job, err := c.job()
	if err != nil {
		return err
	}
	return c.Options.call(func(ctx context.Context, cl *client.Client) error {
		a, err := c.submit(ctx, cl, job)
		return reportAnswer(c.out, c.Options.JSON, a, err)
	})
}

func (c *jobSubmitCommand) submit(ctx context.Context, cl *client.Client, job api.Job) (*api.Answer, error) {
	if c.Ticket != "" {
		return cl.SubmitTicket(ctx, c.Ticket, job)
	}
	return cl.Submit(ctx, job)
}

func (c *jobSubmitCommand) job() (api.Job, error) {
	fromFile := c.Args.File != ""
	if fromFile == (c.Service != "") {
		return api.Job{}, usagef("give either FILE or --service")
	}
	if fromFile {
		return readJob(c.Args.File)
	}
	job := api.Job{Service: c.Service, Team: c.Team, DeadlineMS: c.Deadline.Milliseconds()}
	for _, p := range c.Payloads {
		job.Tasks = append(job.Tasks, api.Task{Payload: []byte(p), Idempotent: c.Idempotent})
	}
	return job, nil
}

func readJob(file string) (api.Job, error) {
	var job api.Job
	text, err := readFile(file)
	if err != nil {
		return job, result.Errorf(result.BadSettings, "%v", err)
	}
	if err := decodeCommented(text, &job); err != nil {
		return job, result.Errorf(result.BadSettings, "%s: %v", file, err)
	}
	return job, nil
}

// jobShowCommand shows or cancels a job.
type jobShowCommand struct {
	out     *output
	cancel  bool
	Options callerOptions
	Args    struct {
		Ticket string `positional-arg-name:"TICKET"`
	} `positional-args:"yes" required:"yes"`
}

// Execute gets or cancels the job and prints the answer.
func (c *jobShowCommand) Execute([]string) error {
	return c.Options.call(func(ctx context.Context, cl *client.Client) error {
		call := cl.Get
		if c.cancel {
			call = cl.Cancel
		}
		a, err := call(ctx, c.Args.Ticket)
		return reportAnswer(c.out, c.Options.JSON, a, err)
	})
}
