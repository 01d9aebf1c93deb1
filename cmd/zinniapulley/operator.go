package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/config"
	"zinniapulley.dev/control/operator"
	"zinniapulley.dev/core"
)

// waitInterval is the polling interval of awaitInForce.
const waitInterval = 200 * time.Millisecond

// operatorFlags are the flags of all operator commands.
type operatorFlags struct {
	Controls []netip.AddrPort `help:"Operator API addresses of control instances." required:"" env:"ZINNIAPULLEY_CONTROLS"`
	Token    string           `help:"Token of your team." env:"ZINNIAPULLEY_TOKEN"`
	Timeout  time.Duration    `help:"Time limit of the command, retries included." default:"10s"`
	JSON     bool             `name:"json" help:"Print the answer as JSON."`

	out io.Writer
}

// run makes a call within the timeout and prints the answer.
func (f *operatorFlags) run(call func(context.Context, *operator.Client) (any, error), text func(io.Writer, any)) error {
	if f.out == nil {
		f.out = os.Stdout
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	answer, err := call(ctx, operator.NewClient(f.Controls, f.Token))
	if err != nil {
		return explain(err)
	}
	if f.JSON {
		return core.At("print", "", json.NewEncoder(f.out).Encode(answer))
	}
	text(f.out, answer)
	return nil
}

// advice maps an error code to the operator's next step.
var advice = map[operator.Code]string{
	operator.CodeUnauthorized: "check --token",
	operator.CodeForbidden:    "ask the team that owns it",
	operator.CodeConflict:     "get the section again, apply your change to it, and submit that",
	operator.CodeReusedID:     "leave --request-id out for a new change",
	operator.CodeInvalid:      "mend the faults and submit again",
	operator.CodeUnknown:      "repeat the command with the same --request-id",
}

// explain adds the validation errors and the operator's next step to a failure.
func explain(err error) error {
	var failure *operator.Error
	if !errors.As(err, &failure) {
		return err
	}
	message := failure.Message
	for _, fault := range failure.Faults {
		message += fmt.Sprintf("\n  %v", fault)
	}
	if failure.Code == operator.CodeConflict {
		message += fmt.Sprintf("\n  the section is at revision %v", failure.Revision)
	}
	if next, ok := advice[failure.Code]; ok {
		message += "\n  next: " + next
	}
	return errors.New(message)
}

// changeFlags are the flags of all commands that make a change.
type changeFlags struct {
	operatorFlags
	RequestID string `name:"request-id" help:"Idempotency key of the change, so that it may be sent again. Default: a new one."`
	Wait      bool   `help:"Wait until every instance has the change in force."`
}

func (f *changeFlags) requestID() config.RequestID {
	if f.RequestID == "" {
		f.RequestID = rand.Text()
	}
	return config.RequestID(f.RequestID)
}

// change makes a change and, with --wait, waits until it is in force.
func (f *changeFlags) change(call func(context.Context, *operator.Client) (operator.Accepted, error)) error {
	return f.run(func(ctx context.Context, c *operator.Client) (any, error) {
		accepted, err := call(ctx, c)
		if err == nil && f.Wait {
			err = awaitInForce(ctx, c, accepted.Revision)
		}
		return accepted, err
	}, func(out io.Writer, answer any) {
		_, _ = fmt.Fprintf(out, "accepted at revision %v\n", answer.(operator.Accepted).Revision)
	})
}

// awaitInForce returns once every subscriber has the revision in force. When ctx
// is done first, the error names the subscribers that are behind.
func awaitInForce(ctx context.Context, c *operator.Client, revision core.Revision) error {
	for {
		status, err := c.Status(ctx)
		if err != nil {
			return err
		}
		var behind []core.InstanceID
		for _, s := range status.Subscribers {
			if s.Revision < revision {
				behind = append(behind, s.Instance)
			}
		}
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("revision %v is accepted but not yet in force at %v", revision, behind)
		case <-time.After(waitInterval):
		}
	}
}

// configCommand holds the configuration commands.
type configCommand struct {
	Get     configGet     `cmd:"" help:"Print the configuration or one section."`
	Submit  configSubmit  `cmd:"" help:"Replace one section."`
	History configHistory `cmd:"" help:"List accepted changes."`
	Diff    configDiff    `cmd:"" help:"Show what changed between two revisions."`
}

type configGet struct {
	operatorFlags
	Section string `arg:"" optional:"" help:"Section, for example services/feed. Default: the whole document."`
}

// Run prints the configuration or a section.
func (c *configGet) Run() error {
	if c.Section == "" {
		return c.run(func(ctx context.Context, client *operator.Client) (any, error) { return client.Config(ctx) },
			func(out io.Writer, answer any) {
				a := answer.(operator.Config)
				_, _ = fmt.Fprintf(out, "# revision %v\n%s\n", a.Revision, a.Document)
			})
	}
	return c.run(func(ctx context.Context, client *operator.Client) (any, error) {
		return client.Section(ctx, config.Section(c.Section))
	}, func(out io.Writer, answer any) {
		a := answer.(operator.Section)
		_, _ = fmt.Fprintf(out, "# %s, revision %v, team %s\n%s\n", a.Section, a.Revision, a.Owner, a.Body)
	})
}

type configSubmit struct {
	changeFlags
	Section string        `arg:"" help:"Section, for example services/feed."`
	File    string        `arg:"" optional:"" type:"existingfile" help:"File with the section's body (JSON)."`
	Base    core.Revision `help:"Revision of the section that the change is based on." required:""`
	Remove  bool          `help:"Remove the section instead."`
}

// Run submits a section.
func (c *configSubmit) Run() error {
	request := operator.Submit{Section: config.Section(c.Section), Base: c.Base, RequestID: c.requestID(), Remove: c.Remove}
	if c.Remove == (c.File != "") {
		return errors.New("exactly one of a file and --remove is required")
	}
	if c.File != "" {
		body, err := os.ReadFile(c.File)
		if err != nil {
			return core.At("read section", core.Peer(c.File), err)
		}
		request.Body = body
	}
	return c.change(func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.Submit(ctx, request)
	})
}

type configHistory struct {
	operatorFlags
	After core.Revision `help:"List the changes after this revision." default:"0"`
}

// Run lists the accepted changes.
func (c *configHistory) Run() error {
	return c.run(func(ctx context.Context, client *operator.Client) (any, error) { return client.History(ctx, c.After) },
		func(out io.Writer, answer any) {
			table(out, "REVISION\tAT\tTEAM\tSECTION\tREQUEST", func(row func(...any)) {
				for _, change := range answer.(operator.History).Changes {
					row(change.Revision, change.At.Format(time.RFC3339), change.Team, change.Section, change.RequestID)
				}
			})
		})
}

type configDiff struct {
	operatorFlags
	From core.Revision `arg:"" help:"Earlier revision."`
	To   core.Revision `arg:"" optional:"" help:"Later revision. Default: the newest."`
}

// Run prints the sections that differ between two revisions.
func (c *configDiff) Run() error {
	return c.run(func(ctx context.Context, client *operator.Client) (any, error) { return client.Diff(ctx, c.From, c.To) },
		func(out io.Writer, answer any) {
			for _, section := range answer.(operator.Diff).Sections {
				_, _ = fmt.Fprintf(out, "%s\n- %s\n+ %s\n", section.Section, section.Before, section.After)
			}
		})
}

// statusCommand shows the state of the deployment.
type statusCommand struct{ operatorFlags }

// Run prints the status.
func (c *statusCommand) Run() error {
	return c.run(func(ctx context.Context, client *operator.Client) (any, error) { return client.Status(ctx) }, printStatus)
}

func printStatus(out io.Writer, answer any) {
	s := answer.(operator.Status)
	_, _ = fmt.Fprintf(out, "revision %v, by control instance %s; members %v\n", s.Revision, s.Control, s.Members)
	table(out, "INSTANCE\tDATA CENTRE\tREVISION\tBEHIND S\tHEARD S AGO", func(row func(...any)) {
		for _, i := range s.Subscribers {
			row(i.Instance, i.DataCentre, i.Revision, i.BehindSeconds, i.HeardSeconds)
		}
	})
	table(out, "BACKEND SERVER\tINSTANCE\tSERVICE\tDATA CENTRE\tSTATE\tCONNECTIONS\tSLOTS\tSHARE", func(row func(...any)) {
		for _, b := range s.BackendServers {
			row(b.ID, b.Instance, b.Service, b.DataCentre, b.State, b.Connections, b.Slots, b.Share)
		}
	})
	table(out, "DATA CENTRE\tIN", func(row func(...any)) {
		for _, d := range s.DataCentres {
			row(d.Name, d.In)
		}
	})
}

// table prints rows under a header, in columns.
func table(out io.Writer, header string, fill func(row func(...any))) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	fill(func(cells ...any) {
		for i, cell := range cells {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	})
	_ = w.Flush()
}

// datacentreCommand takes data centres out of service and back in.
type datacentreCommand struct {
	Out datacentreOut `cmd:"" help:"Take a data centre out of service: its flows are abandoned."`
	In  datacentreIn  `cmd:"" help:"Return a data centre to service."`
}

type datacentreOut struct {
	changeFlags
	Name string `arg:"" help:"Data centre."`
}

// Run takes the data centre out of service.
func (c *datacentreOut) Run() error { return c.setDataCentre(c.Name, config.Out) }

type datacentreIn struct {
	changeFlags
	Name string `arg:"" help:"Data centre."`
}

// Run returns the data centre to service.
func (c *datacentreIn) Run() error { return c.setDataCentre(c.Name, config.In) }

func (f *changeFlags) setDataCentre(name string, state config.DataCentreState) error {
	request := operator.SetDataCentre{Name: core.DataCentre(name), State: state, RequestID: f.requestID()}
	return f.change(func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.SetDataCentre(ctx, request)
	})
}

// drainCommand starts or stops draining a backend server.
type drainCommand struct {
	changeFlags
	Instance string `arg:"" help:"Instance of the backend server."`
	Lift     bool   `help:"Stop draining: accept new flows again."`
}

// Run submits the request.
func (c *drainCommand) Run() error {
	request := operator.Drain{Instance: core.InstanceID(c.Instance), Drain: !c.Lift}
	return c.change(func(ctx context.Context, client *operator.Client) (operator.Accepted, error) {
		return client.Drain(ctx, request)
	})
}
