package ctl

import "github.com/jessevdk/go-flags"

// command is one sub-command; body is the struct with its options.
type command struct {
	name, short, long string
	body              flags.Commander
}

// commands returns the sub-commands in the order of the help text.
func commands(a *app) []command {
	return []command{
		{"check", "Check declarations", "Reads declaration files and reports every mistake.", &checkCommand{app: a}},
		{"plan", "Plan a change", "Compares declarations with the accepted configuration.", &planCommand{app: a}},
		{"confirm", "Accept a plan", "Accepts a plan with one compare-and-swap; safe to repeat.", &confirmCommand{app: a}},
		{"status", "Show the fleet", "Asks the gateways what they see.", &statusCommand{app: a}},
		{"explain", "Explain a request", "Shows the recorded routing decisions of a request.", &explainCommand{app: a}},
		{"generations", "Show generations", "Shows the accepted generation, the plans before it and each gateway's.", &generationsCommand{app: a}},
		{"restore", "Repair the platform", "Writes the gateways' highest configuration back into a platform that fell behind.", &restoreCommand{app: a}},
		{"load", "Generate load", "Sends a load mix to the gateways and judges every answer.", &loadCommand{app: a}},
		{"burn", "Report service-level burn", "Samples the gateways' metrics and reports how fast error budgets burn.", &burnCommand{app: a}},
		{"quarantine", "Requests under which endpoints crash", "Lists what relaying gateways hold against requests, or clears one.", &quarantineCommand{app: a}},
		{"relays", "Show relaying gateways", "Shows what relaying gateways know: configuration, endpoints, evacuated data centres.", &relaysCommand{app: a}},
		{"late", "Why requests were late", "Reads logs of relaying gateways and counts late and refused requests by cause.", &lateCommand{app: a}},
		{"completion", "Write shell completion", "Writes the completion script for bash.", &completionCommand{app: a}},
	}
}
