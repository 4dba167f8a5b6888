// Command bluebellport runs an instance of the router.
package main

import (
	"os"

	bbport "bluebellport.example/bluebellport/src"
)

func main() {
	os.Exit(bbport.Main(os.Args[1:], os.Stdout, os.Stderr))
}
