// Command bluebellstand runs a load generator, and stand-ins for the services
// that a fleet of instances depends on.
package main

import (
	"os"

	bbstand "bluebellport.example/bluebellstand/src"
)

func main() {
	os.Exit(bbstand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
