package bbport

import "io"

// Main runs the program with the arguments and returns its exit code.
func Main(_ []string, _, _ io.Writer) int {
	return 0
}
