// Command bluebellport runs one instance of the fleet.
package main

import (
	"os"

	bbport "bluebellport.example/bluebellport/src"
)

func main() {
	os.Exit(bbport.Main(os.Args[1:], os.Stdout, os.Stderr))
}
