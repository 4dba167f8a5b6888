package bbproxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rcrowley/go-metrics"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbunit"
)

const (
	// earlyTries is how often each answer is played on each kind of route.
	earlyTries = 6
	// earlyPause is how long after the beginning of its answer a target breaks off.
	earlyPause = 30 * time.Millisecond
	// earlyHead begins an answer without a length.
	earlyHead  = "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n"
	earlyEvent = "id: 1\ndata: first\n\n"
)

// earlyUploads are sizes of requests: written before the answer is read, what the buffers of the
// system hold, and more than these.
var earlyUploads = []int{10_000, 250_000, 12_000_000}

// breaking is how a target breaks off an answer.
type breaking struct {
	play func(c *net.TCPConn)
	// paced writes the request slowly: a target can then read all that has come.
	paced bool
	least int // bytes of a request that still comes then
}

// dial returns how connections to targets are opened.
func (b *breaking) dial() targetDialer {
	if b.paced {
		return dialPaced
	}
	return dialTCP
}

// breakings are how a target breaks off an answer without a length while the request still comes.
var breakings = map[string]breaking{
	"reset":                          {play: func(c *net.TCPConn) { _ = c.SetLinger(0) }},
	"close":                          {play: func(*net.TCPConn) {}}, // with bytes unread, which resets the connection
	"close as all that came is read": {play: readWhatCame, paced: true},
	"end, and a reset": {play: func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_ = c.SetLinger(0)
	}, least: 12_000_000},
}

// readWhatCame reads what has come over a connection.
func readWhatCame(c *net.TCPConn) {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, _ = io.Copy(io.Discard, c)
}

// pacedConn is a connection whose writes take their time.
type pacedConn struct {
	net.Conn // not the TCP connection itself, which has further ways to write
}

const (
	pacedPart  = 20_000
	pacedPause = 10 * time.Millisecond
)

// SyscallConn gives access to the connection's socket.
func (c pacedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

// Write writes part after part.
func (c pacedConn) Write(b []byte) (int, error) {
	written := 0
	for part := range slices.Chunk(b, pacedPart) {
		n, err := c.Conn.Write(part)
		if written += n; err != nil {
			return written, err
		}
		time.Sleep(pacedPause)
	}
	return written, nil
}

// dialPaced opens a connection whose writes take their time.
func dialPaced(ctx context.Context, address string) (net.Conn, error) {
	conn, err := dialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	return pacedConn{conn}, nil
}

// breakOff returns the function of a target that answers before it has read the request, and
// breaks off.
func breakOff(breaking func(c *net.TCPConn)) func(net.Conn, *http.Request, string) {
	return func(c net.Conn, _ *http.Request, own string) {
		_, _ = fmt.Fprintf(c, earlyHead+earlyEvent, own)
		time.Sleep(earlyPause)
		breaking(c.(*net.TCPConn))
		_ = c.Close()
	}
}

// earlyWays are how requests get to targets.
var earlyWays = map[string]bool{"own path": false, "carried": true}

// newEarlyHarness returns a harness whose plan allows large uploads, and a function that starts it.
// If carried, it has no path to targets, and a peer carries its connections.
func newEarlyHarness(t *testing.T, dial targetDialer, carried bool) (*harness, func()) {
	h := newHarness(t, 1_000_000_000)
	h.dial, h.maxBody, h.timeout = dial, 16<<20, 10*time.Second
	h.declarePlan(2, 1_000_000_000)
	if !carried {
		return h, h.startWithVersions
	}
	peer := newHarness(t, 1_000_000_000)
	peer.mem, peer.settings.StoreAddress, peer.dial = h.mem, h.settings.StoreAddress, dial
	h.dial = func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, os.ErrDeadlineExceeded
	}
	network := newFakeNetwork()
	for _, inst := range []*harness{h, peer} {
		inst.peers = muxPeer{network.newPeer(bbunit.InstanceID(inst.settings.PeerAddress), inst.settings.Domain)}
	}
	return h, func() {
		peer.start()
		h.startWithVersions()
	}
}

// muxPeer is a peer whose streams are those of yamux, as between processes.
type muxPeer struct{ *fakePeer }

// OpenStream opens a stream of a session of its own.
func (p muxPeer) OpenStream(_ context.Context, to bbunit.InstanceID, kind string) (net.Conn, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	peer := p.network.peers[to]
	if peer == nil || peer.streams[kind] == nil {
		return nil, io.EOF
	}
	serve := peer.streams[kind]
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	near, far := net.Pipe()
	client, err := yamux.Client(near, cfg)
	if err != nil {
		return nil, err
	}
	server, err := yamux.Server(far, cfg)
	if err != nil {
		return nil, err
	}
	go func() {
		stream, err := server.Accept()
		if err != nil {
			return
		}
		serve(p.self.ID, stream)
		_ = stream.Close()
	}()
	stream, err := client.Open()
	if err != nil {
		return nil, err
	}
	return muxStream{stream, client}, nil
}

// muxStream is a stream that is the only one of its session.
type muxStream struct {
	net.Conn
	session *yamux.Session
}

// Close closes the stream and its session.
func (s muxStream) Close() error {
	_ = s.Conn.Close()
	return s.session.Close()
}

// forEachEarly calls fn for each way and each size of an upload.
func forEachEarly(uploads []int, fn func(way string, carried bool, upload int)) {
	for way, carried := range earlyWays {
		for _, upload := range uploads {
			fn(way, carried, upload)
		}
	}
}

// requireCarried fails the test unless a peer has carried connections just where it should have.
func (h *harness) requireCarried(carried bool) {
	h.t.Helper()
	if n := metrics.GetOrRegisterCounter("door.carry.used", h.registry).Count(); (n > 0) != carried {
		h.t.Errorf("peers carried %d connections", n)
	}
}

// callEarly sends an upload.
func (h *harness) callEarly(path string, upload int) clientResult {
	return h.call("POST", path, strings.Repeat("u", upload), bbplatform.HeaderTokenUsage, "10,60", bbplatform.HeaderDeadline, "9000")
}
