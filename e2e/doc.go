// Package e2e holds the tests of whole sessions: real gateways and agents with
// small stand-ins for the outside systems, joined by in-memory connections
// under virtual time.
package e2e
