// Package bbwire holds the protobuf messages that instances exchange, and those
// stored as values in the key-value service.
package bbwire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
