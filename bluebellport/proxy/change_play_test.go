package bbproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

// changePlay sends requests in many ways while an operator changes the plan back and
// forth.
type changePlay struct {
	*harness
	targets []*bbplatformstand.Target
	until   time.Time
	mu      sync.Mutex // guards the counts and faults
	served  map[string]int
	crossed int // requests that crossed an idle close
	faults  []string
}

// crossingTime is how long before a close a request that crosses it may have been sent.
const crossingTime = 100 * time.Millisecond

// refusedPause is how long a client waits after a refusal.
const refusedPause = 10 * time.Millisecond

// changeClient is a client of a play. It keeps its connection as long as that is open.
type changeClient struct {
	play     *changePlay
	name     string
	sent     int
	conn     net.Conn
	br       *bufio.Reader
	answered int // requests on the connection
}

// newChangePlay starts an instance with targets of two services of each kind.
func newChangePlay(t *testing.T) *changePlay {
	h := newHarness(t, 100_000_000)
	h.declarePlan(2, 100_000_000)
	p := &changePlay{harness: h, served: map[string]int{}}
	for i := range 2 {
		p.targets = append(p.targets,
			h.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprint("desk", i), Service: "desk", Slots: 64, Pause: 5 * time.Millisecond, BodyPause: true}),
			h.startTarget(bbplatformstand.TargetOptions{ID: fmt.Sprint("llm", i), Service: "llm", Engine: true, EventCount: 3, Slots: 64, Pause: 10 * time.Millisecond}))
	}
	h.startWithVersions()
	return p
}

// toggle replaces one text by another in the plan, and back, at even times.
func (p *changePlay) toggle(from, to string) {
	for version := 3; time.Now().Before(p.until); version++ {
		entry, err := p.mem.Get(context.Background(), bbplatform.KeyPlan)
		is.New(p.t).NoErr(err)
		text := string(entry.Value)
		if changed := strings.ReplaceAll(text, from, to); changed != text {
			text = changed
		} else {
			text = strings.ReplaceAll(text, to, from)
		}
		text = strings.Replace(text, fmt.Sprintf(`"version":%d`, version-1), fmt.Sprintf(`"version":%d`, version), 1)
		_, err = p.mem.CAS(context.Background(), bbplatform.KeyPlan, []byte(text), entry.Rev, 0)
		is.New(p.t).NoErr(err)
		time.Sleep(150 * time.Millisecond)
	}
}

// request returns the next request of the client.
func (c *changeClient) request(path, body string) (text, id string) {
	c.sent++
	id = fmt.Sprintf("%s-%d", c.name, c.sent)
	return rawRequest(path, id, body, bbplatform.HeaderTokenUsage, "100,30"), id
}

// connect opens a connection, if there is none.
func (c *changeClient) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := net.Dial("tcp4", c.play.settings.FrontendAddress)
	if err != nil {
		return false
	}
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	c.conn, c.br, c.answered = conn, bufio.NewReader(conn), 0
	return true
}

// disconnect closes the connection.
func (c *changeClient) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends the parts of a text with pauses and reads the answers to the requests in it.
func (c *changeClient) send(pause time.Duration, ids []string, parts ...string) {
	if !c.connect() {
		return
	}
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c.conn, part); err != nil {
			break // the answer, or its absence, tells
		}
	}
	sentAt := time.Now()
	for _, id := range ids {
		resp, err := http.ReadResponse(c.br, nil)
		status := 0
		if err == nil {
			status = resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil || status == http.StatusBadGateway || status == http.StatusBadRequest || status == http.StatusRequestTimeout {
			c.play.record(c, id, status, err, time.Since(sentAt))
			c.disconnect()
			return
		}
		c.answered++
		c.play.count(c.name, status)
		if status != http.StatusOK {
			time.Sleep(refusedPause)
		}
		if resp.Close {
			c.disconnect()
			return
		}
	}
}

// count counts an answer.
func (p *changePlay) count(name string, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kind, _, _ := strings.Cut(name, "-")
	p.served[fmt.Sprint(kind, " ", status)]++
}

// record records a request without an answer. On a connection that has carried others it
// may have crossed an idle close, if no target got it.
func (p *changePlay) record(c *changeClient, id string, status int, err error, after time.Duration) {
	ran := ranAt(p.targets, id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if status == 0 && c.answered > 0 && !ran && after < crossingTime {
		p.crossed++
		return
	}
	p.faults = append(p.faults, fmt.Sprintf("%s: status %d, %v, %s after it was sent, ran: %t", id, status, err, after, ran))
}

// changeClients are the ways in which the clients of a play send requests.
var changeClients = map[string]func(c *changeClient){
	"kept": func(c *changeClient) {
		text, id := c.request([]string{"/read/1", "/book/1", "/open/1"}[c.sent%3], "body")
		c.send(0, []string{id}, text)
	},
	"new": func(c *changeClient) {
		text, id := c.request("/book/1", "body")
		c.send(0, []string{id}, text)
		c.disconnect()
	},
	"stream": func(c *changeClient) {
		text, id := c.request([]string{"/draft/1", "/once/1"}[c.sent%2], "prompt")
		c.send(0, []string{id}, text)
	},
	"row": func(c *changeClient) {
		a, first := c.request("/read/1", "")
		b, second := c.request("/draft/1", "prompt")
		d, third := c.request("/book/1", "body")
		c.send(0, []string{first, second, third}, a+b+d)
	},
	"slow": func(c *changeClient) {
		text, id := c.request("/book/1", strings.Repeat("x", 1500))
		c.send(40*time.Millisecond, []string{id}, text[:20], text[20:80], text[80:700], text[700:1200], text[1200:])
	},
	"long": func(c *changeClient) {
		text, id := c.request("/book/1", "300ms")
		c.send(0, []string{id}, text)
	},
	"idle": func(c *changeClient) {
		text, id := c.request("/book/1", "body")
		c.send(0, []string{id}, text)
		time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
	},
}

// run lets clients send requests for a time while the plan changes.
func (p *changePlay) run(length time.Duration, change func()) {
	p.until = time.Now().Add(length)
	var wg sync.WaitGroup
	for kind, send := range changeClients {
		for i := range 4 {
			wg.Go(func() {
				c := &changeClient{play: p, name: fmt.Sprintf("%s-%d", kind, i)}
				for time.Now().Before(p.until) {
					send(c)
				}
				c.disconnect()
			})
		}
	}
	change()
	wg.Wait()
}

// TestRequestBesideAChangeOfThePlanIsAnswered guards against a request that was read whole
// and gets neither an answer nor a refusal, as the plan changes meanwhile.
func TestRequestBesideAChangeOfThePlanIsAnswered(t *testing.T) {
	cases := []struct {
		name, from, to string
		statuses       []int // that not all requests get, beside 200
	}{
		{"body limit", `"max-body-bytes":300000`, `"max-body-bytes":1000`, []int{413}},
		{"head limit", `"max-header-bytes":8192`, `"max-header-bytes":2000`, nil},
		{"head timeout", `"header-timeout-ms":1000`, `"header-timeout-ms":150`, nil},
		{"idle timeout", `"idle-timeout-ms":5000`, `"idle-timeout-ms":200`, nil},
		{"all limits", `8192,"max-body-bytes":300000,"header-timeout-ms":1000,"idle-timeout-ms":5000`, `2000,"max-body-bytes":1000,"header-timeout-ms":150,"idle-timeout-ms":200`, []int{413}},
		{"routes", `"host":"` + testHost, `"host":"other.example`, []int{404}},
		{"keys", testKey, "another", []int{401}},
		{"service", `"service":"desk"`, `"service":"other"`, []int{503}},
		{"engine", `"service":"llm"`, `"service":"other"`, []int{503}},
		{"timeout", `"timeout-ms":2000`, `"timeout-ms":200`, []int{504}},
		{"quota", `"prepaid":100000000`, `"prepaid":10`, []int{402}},
		{"plan that can't be read", `"routes":[`, `"routes":[7,`, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newChangePlay(t)
			p.run(3*time.Second, func() { p.toggle(c.from, c.to) })
			t.Log(p.served, "crossed:", p.crossed)
			for i, fault := range p.faults[:min(len(p.faults), 8)] {
				t.Errorf("%d of %d: %s", i+1, len(p.faults), fault)
			}
			for key := range p.served {
				var kind string
				var status int
				_, err := fmt.Sscan(key, &kind, &status)
				is.New(t).NoErr(err)
				if status != http.StatusOK && !slices.Contains(c.statuses, status) {
					t.Errorf("%s: %d times", key, p.served[key])
				}
			}
		})
	}
}
