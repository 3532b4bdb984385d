// Command rudder-standin runs a stand-in for one of the systems around the
// product: a model engine, the platform's service, the weight store or a plain
// service. It is used in tests, the demo and benchmarks. POST /fault injects
// faults, and GET /executions returns the record of executions.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"
)

const (
	exitSuccess       = 0
	exitFailure       = 1
	exitUsage         = 2
	readHeaderTimeout = 10 * time.Second
)

// listenOptions are the options common to all sub-commands.
type listenOptions struct {
	Listen string `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:0" description:"address to serve on"`
}

func main() { os.Exit(run()) }

// run runs the command line and returns the exit code.
func run() int {
	log.SetPrefix("standin")
	log.SetReportTimestamp(true)
	p := flags.NewNamedParser("rudder-standin", flags.HelpFlag|flags.PassDoubleDash)
	addCommands(p)
	_, err := p.Parse()
	var usage *flags.Error
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = os.Stdout.WriteString(usage.Message + "\n")
		return exitSuccess
	case errors.As(err, &usage):
		log.Error("Bad command line.", "error", err)
		return exitUsage
	default:
		log.Error("Stopped.", "error", err)
		return exitFailure
	}
}

func addCommands(p *flags.Parser) {
	add := func(name, text string, c any) {
		if _, err := p.AddCommand(name, text, text+".", c); err != nil {
			panic(err) // an invalid flag tag
		}
	}
	add("engine", "Serve a stand-in model engine", newEngineCommand())
	add("platform", "Serve a stand-in of the platform's service", &platformCommand{})
	add("service", "Serve a stand-in plain service", &serviceCommand{})
	add("weights", "Serve a stand-in weight store", &weightsCommand{})
}

// serve serves h until SIGTERM or an interrupt.
func (l listenOptions) serve(name string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ln, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	log.Info("Serving.", "name", name, "address", ln.Addr().String())
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
