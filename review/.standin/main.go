// Command standin plays one case of the review: it is the users' platform, their workers and their clients, and
// starts the relays as processes.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCouldNot  = 2
	hostName      = "album.example"
	clientKey     = "key-1"
	clientTenant  = "family"
	fullBodyBytes = 4 << 20 // maxBodyBytes of the site
)

// playCase plays a case and reports whether the rule was broken.
type playCase func(ctx context.Context, p *platform, trouble bool) (broken bool, err error)

var cases = map[string]playCase{"no-answer": playNoAnswer, "revoked": playRevoked, "uploads": playUploads}

func main() {
	name := flag.String("case", "", "case to play")
	relay := flag.String("relay", "target/rudder-relay", "program of the relay")
	template := flag.String("template", "deploy/relay.ini.tmpl", "template of its settings")
	recordPath := flag.String("record", "record.txt", "where the record is written")
	flag.Parse()
	os.Exit(play(*name, *relay, *template, *recordPath))
}

func play(name, relay, template, recordPath string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitCouldNot
	}
	relay, err := filepath.Abs(relay)
	if err != nil {
		return couldNot(err)
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return couldNot(err)
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return couldNot(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := newPlatform(dir, relay, template, r)
	if err != nil {
		return couldNot(err)
	}
	defer p.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, with the disruption: %v", name, trouble)
	broken, err := run(ctx, p, trouble)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitCouldNot
	case ctx.Err() != nil:
		return exitCouldNot
	case broken:
		r.say("the rule was BROKEN")
		return exitBroken
	default:
		r.say("the rule held")
		return exitHeld
	}
}

func couldNot(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitCouldNot
}

func newClient(p *platform, n int) *client {
	return &client{p: p, number: n, random: rand.New(rand.NewPCG(uint64(n), 64))}
}
