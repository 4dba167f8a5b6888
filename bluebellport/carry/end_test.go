package bbcarry

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"bluebellport.example/shared/bbend"
	"bluebellport.example/shared/bbwire"
)

// partOfAnswer is what targets send of an answer.
const partOfAnswer = "part"

// upload writes a request of a size, and returns what a read of the answer has found: all that
// came, and the error of the end.
func upload(conn net.Conn, size int) (string, error) {
	written := make(chan struct{})
	var writeErr error
	go func() {
		defer close(written)
		_, writeErr = conn.Write(make([]byte, size))
	}()
	got, err := io.ReadAll(conn)
	if err == nil {
		err = bbend.Confirm(conn, written, time.Now().Add(2*time.Second))
	}
	_ = conn.Close()
	if <-written; err == nil {
		err = writeErr
	}
	return string(got), err
}

// ends are how a target ends an answer that it began before it had read the request.
var ends = []struct {
	name string
	play func(target *net.TCPConn)
	// large reports that the end is played with a request only that the buffers do not hold.
	large bool
	whole bool
}{
	{name: "reset", play: func(target *net.TCPConn) {
		_ = target.SetLinger(0)
		_ = target.Close()
	}},
	{name: "closed with bytes unread", play: func(target *net.TCPConn) { _ = target.Close() }},
	{name: "closed, and reset", large: true, play: func(target *net.TCPConn) {
		_ = target.CloseWrite()
		time.Sleep(5 * time.Millisecond)
		_ = target.Close()
	}},
	{name: "closed, and reads on", whole: true, play: func(target *net.TCPConn) {
		_ = target.CloseWrite()
		_, _ = io.Copy(io.Discard, target)
		_ = target.Close()
	}},
	{name: "closed, and reads late", whole: true, play: func(target *net.TCPConn) {
		_ = target.CloseWrite()
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, target)
		_ = target.Close()
	}},
}

// uploadSizes are of a request that is copied at once, one that the buffers hold, and one that
// they do not.
var uploadSizes = []int{copyBuffer, 200_000, 24 << 20}

// TestEndWithinAnUploadIsTold guards against a part of an answer that is taken for whole, as the
// connection between peer and target broke while the request was copied, and against a sound
// target's answer that is not.
func TestEndWithinAnUploadIsTold(t *testing.T) {
	for _, end := range ends {
		for _, size := range uploadSizes {
			if end.large && size < uploadSizes[2] {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d bytes", end.name, size), func(t *testing.T) {
				t.Parallel()
				for range 5 {
					conn, target, _ := newCarryTest(t).dial()
					go func() {
						_, _ = io.WriteString(target, partOfAnswer)
						time.Sleep(10 * time.Millisecond)
						end.play(target.(*net.TCPConn))
					}()
					got, err := upload(conn, size)
					if (err == nil) != end.whole || end.whole && got != partOfAnswer || err != nil && !errors.Is(err, ErrBroken) && !errors.Is(err, io.ErrClosedPipe) {
						t.Errorf("%q, %v", got, err)
					}
				}
			})
		}
	}
}

// answerAsBuildBefore serves a stream as a peer whose build knows no ends with a count: it closes
// both connections at the end of the target's side.
func answerAsBuildBefore(stream, target net.Conn) {
	ask := &bbwire.CarryAsk{}
	_ = protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(bbwire.Unbuffered{Reader: stream}, ask)
	_, _ = protodelim.MarshalTo(stream, &bbwire.CarryTell{State: bbwire.CarryState_CARRY_STATE_CONNECTED})
	go func() { _, _ = io.Copy(target, stream) }()
	answer, err := io.ReadAll(target)
	end := uint32(endClosed)
	if err != nil {
		end = endBroken
	}
	_, _ = stream.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(answer))), answer...))
	_, _ = stream.Write(binary.BigEndian.AppendUint32(nil, end))
	_ = target.Close()
	_ = stream.Close()
}

// TestPeerOfTheBuildBeforeCarries guards against an answer that fails, or a part of one that is
// taken for whole, as a peer of the build before carries the connection.
func TestPeerOfTheBuildBeforeCarries(t *testing.T) {
	for size, want := range map[int]error{100: nil, copyBuffer: nil, 200_000: ErrStreamLost} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			near, far := net.Pipe()
			peer, target := net.Pipe()
			go answerAsBuildBefore(far, peer)
			go func() {
				_, _ = io.ReadFull(target, make([]byte, size))
				_, _ = io.WriteString(target, partOfAnswer)
				_ = target.Close()
			}()
			conn, err := Dial(near, "10.0.0.1:80", time.Minute, time.Now().Add(time.Second))
			if err != nil {
				t.Fatal(err)
			}
			if got, err := upload(conn, size); got != partOfAnswer || !errors.Is(err, want) && err != want {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// TestAskerOfTheBuildBeforeIsServed guards against an end that an asker of the build before does
// not understand.
func TestAskerOfTheBuildBeforeIsServed(t *testing.T) {
	for _, row := range []struct {
		name string
		play func(target *net.TCPConn)
		end  uint32
	}{
		{"closed", func(target *net.TCPConn) { _ = target.Close() }, endClosed},
		{"closed, and reads on", func(target *net.TCPConn) { _ = target.CloseWrite() }, endClosed},
		{"reset", func(target *net.TCPConn) {
			_ = target.SetLinger(0)
			_ = target.Close()
		}, endBroken},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCarryTest(t)
			near, _ := c.stream()
			defer func() { _ = near.Close() }()
			_ = near.SetDeadline(time.Now().Add(2 * time.Second))
			_, _ = protodelim.MarshalTo(near, &bbwire.CarryAsk{Address: "10.0.0.1:80", Limitms: 60_000})
			tell := &bbwire.CarryTell{}
			if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(bbwire.Unbuffered{Reader: near}, tell); err != nil || tell.State != bbwire.CarryState_CARRY_STATE_CONNECTED || tell.Counted {
				t.Fatal(tell, err)
			}
			target := <-c.target
			_, _ = near.Write([]byte("request"))
			_, _ = io.ReadFull(target, make([]byte, len("request")))
			_, _ = io.WriteString(target, partOfAnswer)
			row.play(target.(*net.TCPConn))
			got, _ := io.ReadAll(near)
			want := append(binary.BigEndian.AppendUint32(nil, uint32(len(partOfAnswer))), partOfAnswer...)
			if want = binary.BigEndian.AppendUint32(want, row.end); !bytes.Equal(got, want) {
				t.Errorf("%q", got)
			}
		})
	}
}
