package bbstand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"bluebellport.example/platform"
)

// NativeCallOptions configures the native-call command, which sends requests to
// an instance that runs `bluebellport native`.
type NativeCallOptions struct {
	Address, Host, Path, Key, Usage string
	Count                           int
	Deadline                        time.Duration
}

func (o *NativeCallOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("address", "Address of the instance.").StringVar(&o.Address)
	cmd.Flag("host", "Host that selects the route.").StringVar(&o.Host)
	cmd.Flag("path", "Path and query.").Default("/").StringVar(&o.Path)
	cmd.Flag("key", "Key of the client account.").StringVar(&o.Key)
	cmd.Flag("usage", "Tokens of the prompt and the most of the answer, as 100,50; empty sends none.").StringVar(&o.Usage)
	cmd.Flag("count", "How many requests to send, one after the other.").Default("1").IntVar(&o.Count)
	cmd.Flag("deadline", "How long each waits.").Default("5s").DurationVar(&o.Deadline)
}

func (o *NativeCallOptions) check() []string {
	var bad []string
	if _, err := netip.ParseAddrPort(o.Address); err != nil {
		bad = append(bad, fmt.Sprintf("--address: not an IP address and port: %q", o.Address))
	}
	if o.Host == "" || !strings.HasPrefix(o.Path, "/") {
		bad = append(bad, fmt.Sprintf("--host, --path: host must not be empty and path must begin with /: %q, %q", o.Host, o.Path))
	}
	if _, _, ok := bbplatform.ParseTokenUsage(o.Usage); o.Usage != "" && !ok {
		bad = append(bad, fmt.Sprintf("--usage: not two numbers: %q", o.Usage))
	}
	if o.Count < 1 || o.Deadline <= 0 {
		bad = append(bad, fmt.Sprintf("--count, --deadline: must be above 0: %d, %s", o.Count, o.Deadline))
	}
	return bad
}

// run sends the requests one after the other and prints the number of requests
// per status and the last answer.
func (o *NativeCallOptions) run(ctx context.Context, s streams) error {
	countByStatus := map[string]int{}
	lastBody := ""
	for range o.Count {
		status, body := o.send(ctx)
		countByStatus[status]++
		lastBody = body
	}
	for status, n := range countByStatus {
		_, _ = fmt.Fprintf(s.out, "%d x %s\n", n, status)
	}
	_, err := fmt.Fprintf(s.out, "last answer: %s\n", strings.TrimSpace(lastBody))
	return err
}

// send sends one request and returns the status line and the body of the
// answer. If there is none, the error takes the place of the status.
func (o *NativeCallOptions) send(ctx context.Context) (status, body string) {
	ctx, cancel := context.WithTimeout(ctx, o.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address+o.Path, strings.NewReader("body"))
	if err != nil {
		return err.Error(), ""
	}
	req.Host = o.Host
	req.Header.Set(bbplatform.HeaderAttemptID, uuid.NewString())
	req.Header.Set(bbplatform.HeaderAPIKey, o.Key)
	req.Header.Set(bbplatform.HeaderDeadline, fmt.Sprint(o.Deadline.Milliseconds()))
	if o.Usage != "" {
		req.Header.Set(bbplatform.HeaderTokenUsage, o.Usage)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return err.Error(), ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error(), ""
	}
	return resp.Status, string(answer)
}
