package bbledger

import (
	"strconv"
	"strings"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
)

// Peer is one incarnation of an instance. Grantees, holders and witnesses are
// peers, so that a restarted instance is not taken for its predecessor.
type Peer struct {
	ID  bbunit.InstanceID
	Inc bbunit.Incarnation
}

// PeerOf returns the peer of a fleet member.
func PeerOf(m bbmember.Member) Peer { return Peer{ID: m.ID, Inc: m.Inc} }

// String returns instance/incarnation, or "" for the zero peer.
func (p Peer) String() string {
	if p == (Peer{}) {
		return ""
	}
	return string(p.ID) + "/" + strconv.FormatUint(uint64(p.Inc), 16)
}

// ParsePeer parses the result of String. It returns the zero peer when s is
// malformed.
func ParsePeer(s string) Peer {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return Peer{}
	}
	inc, err := strconv.ParseUint(s[i+1:], 16, 64)
	if err != nil {
		return Peer{}
	}
	return Peer{ID: bbunit.InstanceID(s[:i]), Inc: bbunit.Incarnation(inc)}
}

// NewHolderID returns the id of the nth holder of a peer on a page.
func NewHolderID(p Peer, page int, n uint64) bbunit.HolderID {
	return bbunit.HolderID(p.String() + "/" + strconv.Itoa(page) + "-" + strconv.FormatUint(n, 10))
}

// HolderPeer returns the peer that a holder id belongs to, or the zero peer.
func HolderPeer(h bbunit.HolderID) Peer {
	i := strings.LastIndexByte(string(h), '/')
	if i < 0 {
		return Peer{}
	}
	return ParsePeer(string(h[:i]))
}

// HolderPage returns the page number in a holder id, or -1.
func HolderPage(h bbunit.HolderID) int {
	s := string(h[strings.LastIndexByte(string(h), '/')+1:])
	i := strings.IndexByte(s, '-')
	if i < 0 {
		return -1
	}
	n, err := strconv.Atoi(s[:i])
	if err != nil {
		return -1
	}
	return n
}

// alive reports whether the view has the same incarnation of the instance.
func alive(v *bbmember.View, p Peer) bool {
	m, ok := v.Find(p.ID)
	return ok && m.Inc == p.Inc
}
