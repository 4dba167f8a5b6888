package bbstand

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/matryer/is"
)

func testLoadOptions(urls ...string) LoadOptions {
	o := LoadOptions{
		Keys: []string{"k"}, Service: "m", Plain: "p", Concurrency: 4,
		Duration: time.Minute, Tokens: 3, Timeout: 5 * time.Second, Prefix: "t",
	}
	for _, u := range urls {
		o.Instances = append(o.Instances, strings.TrimPrefix(u, "http://"))
	}
	return o
}

// runLoad runs the load generator and returns its report and all results.
func runLoad(o LoadOptions) (*LoadReport, []LoadResult) {
	var mu sync.Mutex
	var results []LoadResult
	report := NewLoadReport()
	GenerateLoad(context.Background(), o, func(r LoadResult) {
		mu.Lock()
		defer mu.Unlock()
		report.Add(r)
		results = append(results, r)
	})
	return report, results
}

func TestLoadAgainstEngine(t *testing.T) {
	is := is.New(t)
	e, url := startTestEngine(t, func(o *EngineOptions) { o.Slots = 4 })
	o := testLoadOptions(url)
	o.Count, o.StreamedShare = 20, 0.5
	report, _ := runLoad(o)
	is.Equal(report.Done, 20)
	is.Equal(len(e.executions()), 20)
	is.True(strings.HasPrefix(e.executions()[0].Name, "t-0-"))
	is.Equal(report.Tokens, 20*(7+3)) // prompt and answer
}

func TestLoadClassifiesAnswers(t *testing.T) {
	const chunk = `{"choices":[{"delta":{"content":"%s"}}]}`
	wholeAnswer := func(text string) string { return fmt.Sprintf(`{"choices":[{"message":{"content":%q}}]}`, text) }
	cases := []struct {
		name   string
		kind   LoadKind
		status int
		body   string
		want   LoadResult
	}{
		{"right", LoadWhole, 200, wholeAnswer("right"), LoadResult{Status: 200, Outcome: "done"}},
		{"answer of another request", LoadWhole, 200, wholeAnswer("other"), LoadResult{Status: 200, Outcome: "done", Wrong: true}},
		{"not JSON", LoadWhole, 200, `{"cho`, LoadResult{Status: 200, Outcome: outcomeLost, Truncated: true}},
		{"stream", LoadStream, 200, "data: " + fmt.Sprintf(chunk, "right") + "\n\ndata: [DONE]\n\n", LoadResult{Status: 200, Outcome: "done"}},
		{"stream cut", LoadStream, 200, "data: " + fmt.Sprintf(chunk, "right") + "\n\n", LoadResult{Status: 200, Outcome: outcomeLost, Truncated: true}},
		{"refused", LoadWhole, 402, `{"title":"budget exhausted","outcome":"not-run"}`, LoadResult{Status: 402, Outcome: "not-run", Title: "budget exhausted"}},
		{"plain answer of another request", LoadWrite, 200, `{"path":"/other","run":1}`, LoadResult{Status: 200, Outcome: "done", Wrong: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			url := startStandIn(t, func(app *fiber.App, _ *listener) {
				app.All("/*", func(ctx *fiber.Ctx) error { return ctx.Status(c.status).SendString(c.body) })
			})
			s, stop := newSender(testLoadOptions(url).Instances, time.Second)
			defer stop()
			r := &loadRequest{kind: c.kind, method: http.MethodPost, path: "/", wantText: "right"}
			if c.kind == LoadWrite {
				r.wantText, r.wantPlain = "", PlainResponse{Path: "/mine"}
			}
			got := s.sendWithRetries(r, 0, time.Now())
			is.Equal(got.Status, c.want.Status)
			is.Equal(got.Outcome, c.want.Outcome)
			is.Equal(got.Truncated, c.want.Truncated)
			is.Equal(got.Wrong, c.want.Wrong)
			is.Equal(len(got.NotRunAt) == 1, c.want.Outcome == "not-run")
		})
	}
}

func TestLoadRetriesAtTheNextInstance(t *testing.T) {
	is := is.New(t)
	broken := startStandIn(t, func(app *fiber.App, _ *listener) { app.All("/*", closeWithoutResponse) })
	_, url := startTestEngine(t, nil)
	o := testLoadOptions(broken, url)
	o.Count, o.Retries = 4, 1
	report, results := runLoad(o)
	is.Equal(report.Done, 4)
	is.Equal(report.Retried, 2)
	o.Retries = 0
	report, _ = runLoad(o)
	is.Equal(report.Lost, 2)
	is.Equal(len(results), 4)
}
