// Package bbe2e holds tests that run the built programs as processes on
// loopback.
package bbe2e
