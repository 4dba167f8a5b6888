package bbport

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// cutHome is a home that answers each request with bytes, and closes.
type cutHome struct{ text []byte }

func (h *cutHome) HandleStream(string, func(bbunit.InstanceID, net.Conn)) {}

func (h *cutHome) OpenStream(context.Context, bbunit.InstanceID, string) (net.Conn, error) {
	here, there := net.Pipe()
	go func() {
		_ = protodelim.UnmarshalFrom(bufio.NewReader(there), &bbwire.Run{})
		_, _ = there.Write(h.text)
		_ = there.Close()
	}()
	return here, nil
}

// TestForwardedAnswerCutAtAnyByteIsNotWhole guards against an answer of another instance that
// breaks off at any byte and that the caller gets as a whole one.
func TestForwardedAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	for _, isStream := range []bool{false, true} {
		var text bytes.Buffer
		for _, part := range []*bbwire.Part{{Status: 200, Fields: []*bbwire.Field{{Name: "Content-Type", Value: "text/plain"}}, Data: []byte("the answer")}, {Data: []byte(" is whole")}, {End: true, Outcome: "done"}} {
			_, err := protodelim.MarshalTo(&text, part)
			is.New(t).NoErr(err)
		}
		f := newTestFrontend(t)
		home := &cutHome{}
		fwd := newForwarder(f.Frontend, home)
		for cut := range text.Len() + 1 {
			is := is.New(t)
			home.text = text.Bytes()[:cut]
			d, _ := newTestDeduplicator(1<<20, 1<<26)
			answer, _, err := d.Join("norra", "r", 1)
			is.NoErr(err)
			req := &clientRequest{id: "r", account: f.deps.Board.State.Load().Accounts["norra"].Object, service: f.deps.Board.State.Load().Services["desk"].Object, deadline: time.Now().Add(time.Second)}
			if isStream {
				req.chat = &chat{}
				req.chat.Stream = true
			}
			if err := fwd.forward(t.Context(), req, bbmember.Member{ID: "home"}, answer); err != nil {
				is.True(cut < text.Len()) // nothing of it has come
				continue
			}
			body, err := readAll(answer)
			is.NoErr(err)
			head, err := answer.Head(t.Context())
			is.NoErr(err)
			isWhole := head.Status == 200 && body == "the answer is whole" && answer.Outcome() == bbunit.OutcomeDone
			isBroken := answer.Outcome() == bbunit.OutcomeUnknown && (isStream || head.Status == 502 && !strings.Contains(body, "the answer"))
			if (cut < text.Len() || !isWhole) && (cut == text.Len() || !isBroken) {
				t.Errorf("stream %v, %d of %d bytes: %d %q, %s", isStream, cut, text.Len(), head.Status, body, answer.Outcome())
			}
		}
	}
}
