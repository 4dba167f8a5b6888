// Command bluebellctl belongs to the fleet.
package main

func main() {}
