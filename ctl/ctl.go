// Package ctl implements the operators' command line. Each sub-command has its
// own file and is listed in registry.go. External dependencies, such as input
// and output, the clock and the platform's store, are passed in an Env.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/micarudder/micarudder/metastore"
)

// Version is the release, set by the linker.
var Version = "development"

// Env holds the external dependencies of the command line.
type Env struct {
	Stdin    io.Reader
	Stdout   io.Writer
	Stderr   io.Writer
	Now      func() time.Time
	Operator string // recorded with an accepted plan
	// Store returns a client of the platform's key-value service at an address.
	Store func(address string) (metastore.Store, error)
}

// globalOptions are the options common to all sub-commands.
type globalOptions struct {
	JSON     bool          `long:"json" description:"write JSON instead of text"`
	Platform string        `long:"platform" env:"RUDDER_PLATFORM" value-name:"IP:PORT" description:"address of the platform's key-value service"`
	Gateways []string      `long:"gateway" env:"RUDDER_GATEWAYS" env-delim:"," value-name:"IP:PORT" description:"inner address of a gateway; may be repeated"`
	Cert     string        `long:"cert" env:"RUDDER_CERT" value-name:"FILE" description:"PEM certificate for the inner protocol"`
	Key      string        `long:"key" env:"RUDDER_KEY" value-name:"FILE" description:"PEM key of the certificate"`
	CA       string        `long:"ca" env:"RUDDER_CA" value-name:"FILE" description:"PEM certificate of the installation's authority"`
	Timeout  time.Duration `long:"timeout" default:"10s" value-name:"DURATION" description:"time for the whole command"`
	Version  func()        `long:"version" description:"write the release and exit"`
}

// app holds the state of one invocation.
type app struct {
	Env
	globalOptions
	ctx  context.Context
	exit Exit
}

// errVersion ends the command when --version is given.
var errVersion = errors.New("version written")

// Run executes the command line and returns its exit code. args has no program name.
func Run(ctx context.Context, env Env, args []string) Exit {
	a := &app{Env: env, ctx: ctx}
	showVersion := false
	a.globalOptions.Version = func() { showVersion = true }
	p := newParser(a)
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if showVersion {
			return errVersion
		}
		if c == nil {
			return &flags.Error{Type: flags.ErrCommandRequired, Message: "no command given"}
		}
		return a.execute(c, rest)
	}
	_, err := p.ParseArgs(args)
	if showVersion {
		fmt.Fprintf(a.Stdout, "rudderctl %s\n", Version)
		return ExitOK
	}
	return a.reportError(err)
}

func newParser(a *app) *flags.Parser {
	p := flags.NewNamedParser("rudderctl", flags.HelpFlag|flags.PassDoubleDash)
	p.SubcommandsOptional = true
	if _, err := p.AddGroup("Common options", "", &a.globalOptions); err != nil {
		panic(err) // the struct is fixed, so this can only be a programming error
	}
	for _, c := range commands(a) {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.body); err != nil {
			panic(err)
		}
	}
	return p
}

// longRunning marks sub-commands whose own options determine how long they run;
// --timeout does not apply to them.
type longRunning interface{ unbounded() }

// execute runs one sub-command, within --timeout unless it is longRunning.
func (a *app) execute(c flags.Commander, rest []string) error {
	if _, ok := c.(longRunning); !ok {
		ctx, cancel := context.WithTimeout(a.ctx, a.Timeout)
		defer cancel()
		a.ctx = ctx
	}
	a.Gateways = slices.DeleteFunc(a.Gateways, func(address string) bool { return address == "" })
	if len(rest) > 0 {
		return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", rest[0])}
	}
	return c.Execute(nil)
}

// writeJSON writes v to standard output as indented JSON.
func (a *app) writeJSON(v any) error { return writeJSON(a.Stdout, v) }

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

func (a *app) printf(format string, args ...any) {
	fmt.Fprintf(a.Stdout, format, args...)
}

// store returns a client of the platform's key-value service.
func (a *app) store() (metastore.Store, error) {
	if a.Platform == "" {
		return nil, usageError("--platform or RUDDER_PLATFORM is needed")
	}
	return a.Env.Store(a.Platform)
}

// usageError returns an error that ends the command with ExitUsage.
func usageError(text string) error {
	return &flags.Error{Type: flags.ErrRequired, Message: text}
}
