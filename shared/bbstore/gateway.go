package bbstore

// The messages of the etcd v3 JSON gateway, as far as Client and Server use
// them. The gateway encodes int64 as strings, and keys and values in base64.

const (
	pathRange     = "/v3/kv/range"
	pathTxn       = "/v3/kv/txn"
	pathGrant     = "/v3/lease/grant"
	pathKeepAlive = "/v3/lease/keepalive"
	pathRevoke    = "/v3/lease/revoke"
	pathWatch     = "/v3/watch"
)

// gRPC status codes in the error responses of the gateway.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
	codeUnavailable       = 14
)

type gwHeader struct {
	Revision int64 `json:"revision,string,omitempty"`
}

type gwKeyValue struct {
	Key         []byte `json:"key,omitempty"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

type gwRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type gwRangeResponse struct {
	Header gwHeader     `json:"header"`
	Kvs    []gwKeyValue `json:"kvs,omitempty"`
	Count  int64        `json:"count,string,omitempty"`
}

type gwCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type gwPut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type gwOp struct {
	Put    *gwPut          `json:"request_put,omitempty"`
	Delete *gwRangeRequest `json:"request_delete_range,omitempty"`
}

type gwTxnRequest struct {
	Compare []gwCompare `json:"compare"`
	Success []gwOp      `json:"success"`
}

type gwTxnResponse struct {
	Header    gwHeader `json:"header"`
	Succeeded bool     `json:"succeeded,omitempty"`
}

// gwLease is the request and the response of the lease calls. TTL is in
// seconds.
type gwLease struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type gwKeepAliveResponse struct {
	Result gwLease `json:"result"`
}

type gwWatchRequest struct {
	Create gwWatchCreateRequest `json:"create_request"`
}

type gwWatchCreateRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string"`
	ProgressNotify bool   `json:"progress_notify"`
}

type gwEvent struct {
	Type string     `json:"type,omitempty"`
	Kv   gwKeyValue `json:"kv"`
}

type gwWatchResponse struct {
	Header          gwHeader  `json:"header"`
	Created         bool      `json:"created,omitempty"`
	Canceled        bool      `json:"canceled,omitempty"`
	CompactRevision int64     `json:"compact_revision,string,omitempty"`
	Events          []gwEvent `json:"events,omitempty"`
}

type gwWatchMessage struct {
	Result gwWatchResponse `json:"result"`
	Error  *gwError        `json:"error,omitempty"`
}

type gwError struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

const (
	eventPut    = "PUT"
	eventDelete = "DELETE"
)

// rangeEnd returns the end of the range of keys with the prefix: the first key
// after all of them, or \x00, which means no end.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// rangeKey returns the start of the range of keys with the prefix. The gateway
// does not accept an empty key; \x00 stands for the first key.
func rangeKey(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}
