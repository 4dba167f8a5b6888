// Command bluebellctl is the operators' side of the fleet: change tickets,
// budgets, bills and status.
package main

import (
	"os"

	bbctl "bluebellport.example/bluebellctl/src"
)

func main() {
	os.Exit(bbctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
