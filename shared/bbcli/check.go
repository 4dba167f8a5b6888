package bbcli

import (
	"fmt"
	"net"
	"time"
)

// CheckAddress returns an error message if the value of the flag is not host:port.
func CheckAddress(flag, value string) []string {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return []string{fmt.Sprintf("%s: not host:port: %q", flag, value)}
	}
	return nil
}

// CheckDuration returns an error message if the value of the flag is not positive.
func CheckDuration(flag string, d time.Duration) []string {
	if d <= 0 {
		return []string{fmt.Sprintf("%s: must be above 0, is %s", flag, d)}
	}
	return nil
}
