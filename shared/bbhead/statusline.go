package bbhead

import "strings"

// VersionPrefix is how each status line begins.
const VersionPrefix = "HTTP/1."

// StatusLineBytes is how many bytes show that a status line begins.
const StatusLineBytes = len(VersionPrefix + "1 200")

// The statuses of HTTP (RFC 9110, section 15). Any other makes a response invalid.
const (
	minStatus = 100
	maxStatus = 599
)

// IsStatus reports whether a number is one of the statuses of HTTP.
func IsStatus(n int64) bool { return minStatus <= n && n <= maxStatus }

// HoldsStatusLine reports whether a text holds the beginning of a status line, with its
// status.
func HoldsStatusLine(text string) bool {
	for {
		_, rest, ok := strings.Cut(text, VersionPrefix)
		if !ok {
			return false
		}
		if beginsWithStatus(rest) {
			return true
		}
		text = rest
	}
}

// beginsWithStatus reports whether a text is the rest of a status line after VersionPrefix.
func beginsWithStatus(text string) bool {
	if len(text) < StatusLineBytes-len(VersionPrefix) || text[1] != ' ' {
		return false
	}
	for _, c := range text[2:5] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(text) == 5 || text[5] == ' ' || text[5] == '\r'
}
