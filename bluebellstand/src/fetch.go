package bbstand

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbcli"
)

// pollInterval is the time between two attempts of the get command.
const pollInterval = 100 * time.Millisecond

// GetOptions configures the get command, which repeats a GET until the status
// is 200.
type GetOptions struct {
	Address string
	Path    string
	Timeout time.Duration
}

func (o *GetOptions) flags(cmd *kingpin.CmdClause) {
	flag(cmd, "timeout", "10s", "How long it is tried.").DurationVar(&o.Timeout)
	cmd.Arg("address", "Address to ask.").Required().StringVar(&o.Address)
	cmd.Arg("path", "Path to get.").Required().StringVar(&o.Path)
}

func (o *GetOptions) check() []string {
	return append(bbcli.CheckAddress("address", o.Address), bbcli.CheckDuration("--timeout", o.Timeout)...)
}

func (o *GetOptions) run(ctx context.Context, s streams) error {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	for {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+o.Address+o.Path, o.Timeout)
		if err == nil && status == http.StatusOK {
			fmt.Fprintln(s.out, string(body))
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("GET %s%s: no status 200 before the end of the wait: last status %d, last error %v", o.Address, o.Path, status, err)
		case <-time.After(pollInterval):
		}
	}
}

// PostOptions configures the post command, which sends a JSON body.
type PostOptions struct {
	Address string
	Path    string
	Body    string
	Timeout time.Duration
}

func (o *PostOptions) flags(cmd *kingpin.CmdClause) {
	flag(cmd, "timeout", "10s", "Longest wait for the answer.").DurationVar(&o.Timeout)
	cmd.Arg("address", "Address to send to.").Required().StringVar(&o.Address)
	cmd.Arg("path", "Path to post to.").Required().StringVar(&o.Path)
	cmd.Arg("body", "JSON that is sent.").Required().StringVar(&o.Body)
}

func (o *PostOptions) check() []string {
	return append(bbcli.CheckAddress("address", o.Address), bbcli.CheckDuration("--timeout", o.Timeout)...)
}

func (o *PostOptions) run(_ context.Context, s streams) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + o.Address + o.Path)
	req.SetBodyString(o.Body)
	if err := fasthttp.DoTimeout(req, resp, o.Timeout); err != nil {
		return errors.Annotate(err, o.Address)
	}
	fmt.Fprintln(s.out, string(resp.Body()))
	if resp.StatusCode() != http.StatusOK {
		return errors.Errorf("POST %s%s: status %d, want 200", o.Address, o.Path, resp.StatusCode())
	}
	return nil
}
