// Package e2e tests whole sessions: real gateways and agents with small
// simulators of the outside systems, connected by in-memory connections under
// virtual time. A few tests start real processes instead.
package e2e
