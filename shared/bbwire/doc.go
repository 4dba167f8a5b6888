// Package bbwire holds the protobuf messages between instances and the values
// kept in the key-value service.
package bbwire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
