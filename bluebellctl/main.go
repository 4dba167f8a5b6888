// Command bluebellctl is the operators' command-line client. It applies change
// tickets and shows budgets, bills and the status of instances.
package main

import (
	"os"

	bbctl "bluebellport.example/bluebellctl/src"
)

func main() {
	os.Exit(bbctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
