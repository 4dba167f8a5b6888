// Command bluebellctl is the operators' command-line client. It applies change
// tickets, sends orders to targets, and shows budgets, bills, the status of
// instances and what their logs say about a request.
package main

import (
	"os"

	bbctl "bluebellport.example/bluebellctl/src"
)

func main() {
	os.Exit(bbctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
