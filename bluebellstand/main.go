// Command bluebellstand belongs to the fleet.
package main

func main() {}
