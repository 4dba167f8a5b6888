// Command bluebellstand runs small stand-ins for what surrounds the fleet, and
// a load generator.
package main

import (
	"os"

	bbstand "bluebellport.example/bluebellstand/src"
)

func main() {
	os.Exit(bbstand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
