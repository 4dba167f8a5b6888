package bbstore

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Server is a fake of the platform's key-value service for tests and
// demonstrations. It serves a Mem, with its faults, over the JSON gateway of
// etcd v3.
type Server struct {
	mem              *Mem
	progressInterval time.Duration
	ctx              context.Context
}

// NewServer returns a server of m, and a function that ends its watches. A
// watch sends a progress notification whenever no event came for the time
// progress; 0 turns them off.
func NewServer(m *Mem, progress time.Duration) (*Server, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{mem: m, progressInterval: progress, ctx: ctx}, cancel
}

// Handle serves one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathRange:
		handle(ctx, s.list)
	case pathTxn:
		handle(ctx, s.txn)
	case pathGrant:
		handle(ctx, s.grant)
	case pathKeepAlive:
		handle(ctx, s.keepAlive)
	case pathRevoke:
		handle(ctx, s.revoke)
	case pathWatch:
		s.watch(ctx)
	default:
		ctx.Error("not found", http.StatusNotFound)
	}
}

// handle decodes the request, calls fn and writes its response or error.
func handle[In, Out any](ctx *fasthttp.RequestCtx, fn func(context.Context, *In) (*Out, error)) {
	in := new(In)
	if err := json.Unmarshal(ctx.PostBody(), in); err != nil {
		writeError(ctx, http.StatusBadRequest, codeInvalidArgument, err.Error())
		return
	}
	out, err := fn(context.Background(), in)
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, out)
}

// writeFailure writes the response that the gateway sends for err. For
// ErrUnknown it closes the connection without a response.
func writeFailure(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, ErrUnknown):
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	case errors.Is(err, ErrRateLimited):
		writeError(ctx, http.StatusTooManyRequests, codeResourceExhausted, "etcdserver: too many requests")
	case errors.Is(err, ErrDown):
		writeError(ctx, http.StatusServiceUnavailable, codeUnavailable, "etcdserver: no leader")
	case errors.Is(err, ErrLeaseNotFound):
		writeError(ctx, http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found")
	case errors.Is(err, ErrTooLarge):
		writeError(ctx, http.StatusBadRequest, codeInvalidArgument, "etcdserver: request is too large")
	default:
		writeError(ctx, http.StatusBadRequest, codeInvalidArgument, err.Error())
	}
}

func writeError(ctx *fasthttp.RequestCtx, status, code int, message string) {
	writeJSON(ctx, &gwError{Message: message, Code: code})
	ctx.SetStatusCode(status)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

func (s *Server) list(ctx context.Context, in *gwRangeRequest) (*gwRangeResponse, error) {
	if len(in.RangeEnd) == 0 {
		e, err := s.mem.Get(ctx, string(in.Key))
		if err != nil || e.Rev == 0 {
			return &gwRangeResponse{}, err
		}
		return &gwRangeResponse{Kvs: []gwKeyValue{newKeyValue(e)}, Count: 1}, nil
	}
	entries, rev, err := s.mem.List(ctx, prefixOf(in.Key))
	if err != nil {
		return nil, err
	}
	resp := &gwRangeResponse{Header: gwHeader{Revision: int64(rev)}, Count: int64(len(entries))}
	for _, e := range entries {
		resp.Kvs = append(resp.Kvs, newKeyValue(e))
	}
	return resp, nil
}

// prefixOf returns the prefix of a range that starts at key. Only ranges made
// by rangeKey and rangeEnd are supported.
func prefixOf(key []byte) string {
	if len(key) == 1 && key[0] == 0 {
		return ""
	}
	return string(key)
}

func newKeyValue(e Entry) gwKeyValue {
	return gwKeyValue{Key: []byte(e.Key), Value: e.Value, ModRevision: int64(e.Rev)}
}

func (s *Server) txn(ctx context.Context, in *gwTxnRequest) (*gwTxnResponse, error) {
	if len(in.Compare) != 1 || len(in.Success) != 1 || in.Compare[0].Target != "MOD" {
		return nil, errors.New("unsupported transaction: it must have one comparison, of MOD, and one operation")
	}
	prev, op := Revision(in.Compare[0].ModRevision), in.Success[0]
	var value []byte
	var lease LeaseID
	if op.Put != nil {
		value, lease = append([]byte{}, op.Put.Value...), LeaseID(op.Put.Lease)
	}
	rev, err := s.mem.CAS(ctx, string(in.Compare[0].Key), value, prev, lease)
	if errors.Is(err, ErrConflict) {
		return &gwTxnResponse{}, nil
	}
	return &gwTxnResponse{Header: gwHeader{Revision: int64(rev)}, Succeeded: true}, err
}

func (s *Server) grant(ctx context.Context, in *gwLease) (*gwLease, error) {
	id, err := s.mem.Grant(ctx, time.Duration(in.TTL)*time.Second)
	return &gwLease{ID: int64(id), TTL: in.TTL}, err
}

func (s *Server) keepAlive(ctx context.Context, in *gwLease) (*gwKeepAliveResponse, error) {
	err := s.mem.Renew(ctx, LeaseID(in.ID))
	if errors.Is(err, ErrLeaseNotFound) {
		return &gwKeepAliveResponse{Result: gwLease{ID: in.ID}}, nil
	}
	return &gwKeepAliveResponse{Result: gwLease{ID: in.ID, TTL: 1}}, err
}

func (s *Server) revoke(ctx context.Context, in *gwLease) (*gwLease, error) {
	return &gwLease{}, s.mem.Revoke(ctx, LeaseID(in.ID))
}

// watch streams one JSON line for each event until the caller disconnects, the
// store is down or the server stops.
func (s *Server) watch(httpCtx *fasthttp.RequestCtx) {
	in := new(gwWatchRequest)
	if err := json.Unmarshal(httpCtx.PostBody(), in); err != nil {
		writeError(httpCtx, http.StatusBadRequest, codeInvalidArgument, err.Error())
		return
	}
	if s.mem.Faults().Down {
		writeFailure(httpCtx, ErrDown)
		return
	}
	httpCtx.SetContentType("application/json")
	httpCtx.SetBodyStreamWriter(func(w *bufio.Writer) { s.stream(s.ctx, w, &in.Create) })
}

func (s *Server) stream(ctx context.Context, w *bufio.Writer, in *gwWatchCreateRequest) {
	send := func(resp gwWatchResponse) error {
		b, err := json.Marshal(&gwWatchMessage{Result: resp})
		if err != nil {
			return err
		}
		if _, err := w.Write(append(b, '\n')); err != nil {
			return err
		}
		return w.Flush()
	}
	if send(gwWatchResponse{Created: true}) != nil {
		return
	}
	from := Revision(in.StartRevision) - 1
	err := s.mem.watch(ctx, prefixOf(in.Key), from, s.progressInterval, func(e *Event) error {
		if e == nil {
			return send(gwWatchResponse{})
		}
		event := gwEvent{Type: eventPut, Kv: newKeyValue(e.Entry)}
		if e.Value == nil {
			event.Type = eventDelete
		}
		return send(gwWatchResponse{Header: gwHeader{Revision: int64(e.Rev)}, Events: []gwEvent{event}})
	})
	if errors.Is(err, ErrCompacted) {
		_ = send(gwWatchResponse{Canceled: true, CompactRevision: int64(from) + 1})
	}
}
