package bbstand

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"bluebellport.example/shared/bbcli"
)

// AskOptions configures the ask command, which sends one request.
type AskOptions struct {
	Instance string
	Key      string
	ID       string
	Service  string
	Plain    string
	Stream   bool
	Write    bool
	Tokens   int
	Timeout  time.Duration
	Text     string
}

func (o *AskOptions) flags(cmd *kingpin.CmdClause) {
	flag(cmd, "instance", "", "Address of the instance.").StringVar(&o.Instance)
	flag(cmd, "key", "", "API key.").StringVar(&o.Key)
	flag(cmd, "id", "", "Idempotency key; empty makes one.").StringVar(&o.ID)
	flag(cmd, "service", "", "Service that a chat goes to.").StringVar(&o.Service)
	flag(cmd, "plain", "", "Plain service, for a request that is no chat.").StringVar(&o.Plain)
	flag(cmd, "stream", "", "Ask for a streamed answer.").BoolVar(&o.Stream)
	flag(cmd, "write", "", "Send the plain service a request that may not be repeated.").BoolVar(&o.Write)
	flag(cmd, "tokens", "20", "Tokens of the answer at most.").IntVar(&o.Tokens)
	flag(cmd, "timeout", "30s", "Longest wait for the answer.").DurationVar(&o.Timeout)
	cmd.Arg("text", "Prompt of the chat, or path at the plain service.").Required().StringVar(&o.Text)
}

func (o *AskOptions) check() []string {
	bad := bbcli.CheckAddress("--instance", o.Instance)
	if o.Key == "" {
		bad = append(bad, "--key: needed")
	}
	if (o.Service == "") == (o.Plain == "") {
		bad = append(bad, "--service, --plain: just one is needed")
	}
	bad = append(bad, checkMin("--tokens", float64(o.Tokens), 1)...)
	return append(bad, bbcli.CheckDuration("--timeout", o.Timeout)...)
}

func (o *AskOptions) run(_ context.Context, s streams) error {
	r := &loadRequest{id: o.ID, apiKey: o.Key}
	if r.id == "" {
		r.id = uuid.NewString()
	}
	switch {
	case o.Plain != "":
		o.preparePlain(r)
	case o.Stream:
		r.kind = LoadStream
		r.setChat(o.Service, o.Text, o.Tokens)
	default:
		r.setChat(o.Service, o.Text, o.Tokens)
	}
	sender, stop := newSender([]string{o.Instance}, o.Timeout)
	defer stop()
	result := sender.sendWithRetries(r, 0, time.Now())
	fmt.Fprintf(s.out, "%s: status %d, %s, %d tokens: %s\n", r.id, result.Status, result.Outcome, result.Tokens, result.text)
	if result.Outcome != "done" {
		return errors.Errorf("%s: %s", result.Outcome, result.Title)
	}
	return nil
}

// preparePlain makes r a request to the plain service.
func (o *AskOptions) preparePlain(r *loadRequest) {
	r.kind, r.method = LoadRead, http.MethodGet
	if o.Write {
		r.kind, r.method, r.body = LoadWrite, http.MethodPost, []byte(r.id)
	}
	r.path = "/services/" + o.Plain + o.Text
	r.wantPlain = NewPlainResponse(r.method, o.Text, r.body, 0)
}
