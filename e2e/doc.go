// Package bbe2e drives the real programs from outside, on loopback.
package bbe2e
