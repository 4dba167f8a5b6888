package bbport

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// rawPeer returns a session with an instance, on which the test writes the
// frames.
func rawPeer(t *testing.T, address string) *session {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	hello := &bbwire.Hello{Instance: "raw", Inc: 1, Domain: "d1", Address: "127.0.0.1:1"}
	s, err := newSession(context.Background(), conn, true, hello, &bytes.Buffer{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return s
}

// frame returns a length prefix followed by body, which need not have that
// length.
func frame(size uint64, body []byte) []byte {
	return append(binary.AppendUvarint(nil, size), body...)
}

func TestMalformedFrames(t *testing.T) {
	garbage := bytes.Repeat([]byte{0xff}, 64)
	unknown, _ := proto.Marshal(&bbwire.Envelope{Seq: 1, Reply: false})
	unknown = append(unknown, 0xa2, 0x3f, 0x01, 'x') // field 1012, which does not exist
	gossip, _ := proto.Marshal(&bbwire.Envelope{Body: &bbwire.Envelope_Gossip{Gossip: &bbwire.Gossip{
		Members: []*bbwire.Member{{Instance: "x", Inc: 1, Domain: "d", Address: "nowhere", Beat: 1}, nil},
	}}})
	manyMembers := &bbwire.Gossip{}
	for i := range maxReportsPerMessage + 1 {
		manyMembers.Members = append(manyMembers.Members, &bbwire.Member{
			Instance: fmt.Sprint("flood", i), Inc: 1, Domain: "d1", Address: "127.0.0.1:1", Beat: 1,
		})
	}
	flood, _ := proto.Marshal(&bbwire.Envelope{Body: &bbwire.Envelope_Gossip{Gossip: manyMembers}})
	ticket, _ := proto.Marshal(&bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{Tickettell: &bbwire.TicketTell{
		Tickets: [][]byte{[]byte(`{"number":`), []byte(`{}`)},
	}}})
	state, _ := proto.Marshal(&bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{Tickettell: &bbwire.TicketTell{State: []byte(`[]`)}}})
	unnumbered, _ := proto.Marshal(&bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{Tickettell: &bbwire.TicketTell{
		Tickets: [][]byte{[]byte(`{}`)},
	}}})
	unexpectedReply, _ := proto.Marshal(&bbwire.Envelope{Seq: 77, Reply: true, Body: &bbwire.Envelope_Ticketask{}})
	cases := map[string]struct {
		frame  []byte
		closed bool // the framing is lost and the session is closed
		silent bool // happens in normal operation and is not counted
	}{
		"garbage":                   {frame: frame(64, garbage)},
		"empty":                     {frame: frame(0, nil)},
		"unknown body":              {frame: frame(uint64(len(unknown)), unknown)},
		"oversized":                 {frame: frame(maxEnvelopeBytes+1, make([]byte, maxEnvelopeBytes+1))},
		"malformed member":          {frame: frame(uint64(len(gossip)), gossip)},
		"too many members":          {frame: frame(uint64(len(flood)), flood)},
		"malformed ticket":          {frame: frame(uint64(len(ticket)), ticket)},
		"ticket without number":     {frame: frame(uint64(len(unnumbered)), unnumbered)},
		"malformed state":           {frame: frame(uint64(len(state)), state)},
		"reply to no call":          {frame: frame(uint64(len(unexpectedReply)), unexpectedReply), silent: true},
		"impossible length":         {frame: frame(1<<60, nil), closed: true},
		"overflowing length":        {frame: bytes.Repeat([]byte{0xff}, 400), closed: true},
		"too much garbage in a row": {frame: bytes.Repeat(frame(2, []byte{0xff, 0xff}), maxConsecutiveMalformed+1), closed: true},
		"some garbage in a row":     {frame: bytes.Repeat(frame(2, []byte{0xff, 0xff}), maxConsecutiveMalformed)},
	}
	l := newFakeList(t)
	inst := startInstance(t, "n", "d1", l, bbstore.NewMem())
	bystander := startInstance(t, "o", "d1", l, bbstore.NewMem())
	inst.peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Loads{}}, func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope {
		return &bbwire.Envelope{Body: &bbwire.Envelope_Loads{Loads: &bbwire.Loads{}}}
	})
	seq := uint64(100)
	for name, c := range cases {
		seq++ // a reply to an earlier case may come again on a later session
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := inst.peers.dropped.Count() + inst.follower.dropped.Count()
			s := rawPeer(t, inst.peers.Address())
			_, err := s.out.Write(c.frame)
			is.True(err == nil || c.closed) // the instance may close the session before it has read all
			if c.closed {
				within(t, 3*time.Second, "session closed", s.closed)
				s = rawPeer(t, inst.peers.Address())
			}
			is.NoErr(s.write(&bbwire.Envelope{Seq: seq, Body: &bbwire.Envelope_Loads{Loads: &bbwire.Loads{}}}))
			is.True(readsReply(s, seq)) // the session, or a new one, still works
			if !c.silent {
				is.True(inst.peers.dropped.Count()+inst.follower.dropped.Count() > before)
			}
			is.Equal(inst.number(), bbunit.TicketNumber(0))
			is.True(!inst.sees("flood0"))
		})
	}
	within(t, 3*time.Second, "the instances still see each other", func() bool { return bystander.sees("n") && inst.sees("o") })
}

// readsReply reads until it gets the reply to seq, for up to 3 seconds.
func readsReply(s *session, seq uint64) bool {
	_ = s.in.SetReadDeadline(time.Now().Add(3 * time.Second))
	for {
		e := &bbwire.Envelope{}
		if err := protodelim.UnmarshalFrom(bbwire.Unbuffered{Reader: s.in}, e); err != nil {
			return false
		}
		if e.Reply && e.Seq == seq {
			return true
		}
	}
}

func TestInvalidHellos(t *testing.T) {
	cases := map[string]*bbwire.Hello{
		"no hello":                nil,
		"no instance":             {Inc: 1, Domain: "d", Address: "127.0.0.1:1"},
		"long instance":           {Instance: strings.Repeat("x", 200), Inc: 1, Domain: "d", Address: "127.0.0.1:1"},
		"no domain":               {Instance: "x", Inc: 1, Address: "127.0.0.1:1"},
		"no incarnation":          {Instance: "x", Domain: "d", Address: "127.0.0.1:1"},
		"address with host name":  {Instance: "x", Inc: 1, Domain: "d", Address: "host:1"},
		"the instance's own name": {Instance: "n", Inc: 1, Domain: "d", Address: "127.0.0.1:1"},
	}
	inst := startInstance(t, "n", "d1", newFakeList(t), bbstore.NewMem())
	for name, hello := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := inst.peers.dropped.Count()
			conn, err := net.Dial("tcp", inst.peers.Address())
			is.NoErr(err)
			s, err := newSession(context.Background(), conn, true, hello, &bytes.Buffer{})
			if err == nil {
				defer s.close()
				within(t, 3*time.Second, "session closed", s.closed)
			}
			within(t, 3*time.Second, "refusal counted", func() bool { return inst.peers.dropped.Count() > before })
			is.Equal(len(inst.view().Members), 1)
		})
	}
	t.Run("silent connection", func(t *testing.T) {
		is := is.New(t)
		conn, err := net.Dial("tcp", inst.peers.Address())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		start := time.Now()
		for err == nil {
			_, err = conn.Read(make([]byte, 64))
		}
		is.True(time.Since(start) < 4*time.Second) // the instance has closed the connection
	})
	t.Run("first stream is of another kind", func(t *testing.T) {
		is := is.New(t)
		conn, err := net.Dial("tcp", inst.peers.Address())
		is.NoErr(err)
		mux, err := yamux.Client(conn, muxConfig(&bytes.Buffer{}))
		is.NoErr(err)
		_, _ = openStream(mux, "state") // fails if the instance closes the connection first
		within(t, 3*time.Second, "session closed", mux.IsClosed)
	})
}

func TestIdleSessionsAreClosed(t *testing.T) {
	is := is.New(t)
	inst := startInstance(t, "n", "d1", newFakeList(t), bbstore.NewMem())
	release := make(chan struct{})
	endStream := sync.OnceFunc(func() { close(release) })
	t.Cleanup(endStream) // the instance waits for the stream as it stops
	inst.peers.HandleStream("long", func(bbunit.InstanceID, net.Conn) { <-release })
	s := rawPeer(t, inst.peers.Address())
	within(t, 3*time.Second, "a link with its session", func() bool {
		l := inst.peers.existingLink("raw")
		return l != nil && l.preferredSession() != nil
	})
	l := inst.peers.existingLink("raw")
	expire := func() { l.preferredSession().lastUsedAt.Store(time.Now().Add(-2 * sessionIdleTimeout).UnixNano()) }

	stream, err := openStream(s.mux, "long")
	is.NoErr(err)
	within(t, 3*time.Second, "the stream", func() bool { return l.preferredSession().mux.NumStreams() == 3 })
	expire()
	l.closeIdle()
	time.Sleep(50 * time.Millisecond)
	is.True(!s.closed()) // an open stream counts as use

	endStream()
	is.NoErr(stream.Close())
	within(t, 3*time.Second, "the stream's end", func() bool { return l.preferredSession().mux.NumStreams() == 2 })
	l.preferredSession().touch()
	l.closeIdle()
	time.Sleep(50 * time.Millisecond)
	is.True(!s.closed()) // just used
	expire()
	l.closeIdle()
	within(t, 3*time.Second, "the session closed", s.closed)
	within(t, 3*time.Second, "no session left", l.closeIdle)
	is.True(inst.peers.removeIdleLink(l))
	is.True(inst.peers.existingLink("raw") == nil)
}
