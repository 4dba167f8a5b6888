package bbproxy

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"bluebellport.example/bluebellport/carry"
	"bluebellport.example/shared/bbunit"
)

// TestConnectEndsWithItsRequest guards against a request that goes on with no connection, or
// is held, when its time is over while a way to the target is looked for.
func TestConnectEndsWithItsRequest(t *testing.T) {
	hang := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	fail := func(context.Context, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	}
	for name, dial := range map[string]targetDialer{"hangs": hang, "fails": fail} {
		for _, lost := range []bool{false, true} {
			for _, peers := range []int{0, 1, 4} {
				for _, left := range []time.Duration{-time.Second, 0, time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s, lost %v, %d peers, %s left", name, lost, peers, left), func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						network := newFakeNetwork()
						self := network.newPeer("self", "uppsala")
						for i := range peers {
							network.newPeer(bbunit.InstanceID(fmt.Sprint(i)), "uppsala").HandleStream(bbcarry.StreamKind, func(_ bbunit.InstanceID, stream net.Conn) {
								_, _ = stream.Read(make([]byte, 64))
								time.Sleep(time.Second) // no answer
							})
						}
						w := newTestWays()
						w.dialOwn, w.peers = dial, self
						if lost {
							w.tracker.Looked("10.0.0.1:80", false, true, time.Now())
						}
						ctx, cancel := context.WithTimeout(t.Context(), left)
						defer cancel()
						begin := time.Now()
						conn, _, err := w.connect(ctx, "10.0.0.1:80")
						is.True(conn == nil)
						is.True(err != nil)
						is.True(time.Since(begin) < max(left, 0)+100*time.Millisecond)
					})
				}
			}
		}
	}
}

// TestLateConnectionIsClosed guards against connections that stay open though nobody waits
// for them.
func TestLateConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	w := newTestWays()
	w.dialOwn = func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(50 * time.Millisecond)
		return dialTCP(ctx, address)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, _, err = w.connect(ctx, ln.Addr().String())
	is.True(err != nil)
	conn, err := ln.Accept()
	is.NoErr(err)
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err.Error(), "EOF")
}

// TestInstanceWithoutProcessorTimeAsksNoPeers guards against an instance that takes its own
// slowness for lost paths, and gets slower by what it then does.
func TestInstanceWithoutProcessorTimeAsksNoPeers(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late %v", late), func(t *testing.T) {
			is := is.New(t)
			network := newFakeNetwork()
			self, peer := network.newPeer("self", "uppsala"), network.newPeer("peer", "uppsala")
			server := bbcarry.NewServer(bbcarry.ServerConfig{
				Begin: func(string) bool { return true }, End: func() {}, Metrics: metrics.NewRegistry(),
				Connect: func(string) (net.Conn, error) {
					near, _ := net.Pipe()
					return near, nil
				},
			})
			peer.HandleStream(bbcarry.StreamKind, func(_ bbunit.InstanceID, stream net.Conn) { server.Serve(stream) })
			w := newTestWays()
			w.peers, w.dialOwn = self, func(ctx context.Context, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			if late {
				w.pulse.Beat(time.Now().Add(-time.Second), reachInterval)
			}
			conn, carried, err := w.connect(t.Context(), "10.0.0.1:80")
			is.Equal(err == nil && carried, !late)
			closeConn(conn)
			time.Sleep(dialTimeout) // until the own dial has failed
			is.Equal(w.usesPeer("10.0.0.1:80"), !late)
			is.Equal(w.asked.Count() == 0, late)
		})
	}
}
