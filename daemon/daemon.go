// Package daemon is what the mains of the gateway and the agent share: the
// command line, the checked settings, logging, the admin listener with
// metrics and health, and an ordered shutdown on SIGTERM or SIGINT.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"github.com/micarudder/micarudder/settings"
)

// Version is the release of all programs of this repository.
const Version = "0.1.0"

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1 // could not start, or did not stop in order
	ExitSettings = 2 // wrong command line or settings
)

const adminHeaderTime = 5 * time.Second

// Common are the settings that every daemon has.
type Common struct {
	AdminListen settings.Address `key:"admin_listen" required:"true" help:"address of /metrics, /healthz and /readyz"`
	LogLevel    string           `key:"log_level" default:"info" allowed:"debug|info|warn|error" help:"least severe level that is logged"`
	LogFormat   string           `key:"log_format" default:"text" allowed:"text|json|logfmt" help:"form of the log lines"`
	Profiling   bool             `key:"profiling" default:"false" help:"whether the admin address serves /debug/pprof"`
	GCPercent   int              `key:"gc_percent" default:"50" min:"10" max:"400" help:"growth of the heap between two collections, in percent; less saves memory, more saves processor time"`
	DrainTime   time.Duration    `key:"drain_time" default:"5m" min:"0s" max:"2h" help:"longest wait for work in flight at a planned stop"`
}

// Service is a wired process. Shutdown ends it in order: it stops taking new
// work, lets work in flight end within ctx, and closes.
type Service interface {
	Ready() bool
	Shutdown(ctx context.Context) error
}

// Reloader is a service that takes some changes of its settings without a
// restart. Reload gets newly read and checked settings of the type that the
// process was started with, and returns why it does not take them.
type Reloader interface {
	Reload(fresh any) error
}

// Env is what a process is built with.
type Env struct {
	Log     *log.Logger
	Metrics *metrics.Set
	// Fail ends the process after an ordered shutdown, for an error that
	// cannot be lived with, such as a listener that broke.
	Fail func(error)
}

type options struct {
	Config  string `short:"c" long:"config" env:"MICARUDDER_CONFIG" description:"settings file" value-name:"FILE"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the release and exit"`
}

// Main runs a daemon and returns its exit code. The settings are read into
// target; common points at the part of target that every daemon has.
func Main(name string, target any, common *Common, build func(Env) (Service, error)) int {
	var opts options
	parser := flags.NewNamedParser(name, flags.Default)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return fail(err, ExitFailed)
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return ExitOK
		}
		return ExitSettings
	}
	if opts.Version {
		fmt.Println(name, Version)
		return ExitOK
	}
	if opts.Config == "" {
		return fail(errors.New("a settings file is needed: --config FILE"), ExitSettings)
	}
	if err := settings.Load(opts.Config, target); err != nil {
		return fail(err, ExitSettings)
	}
	if opts.Check {
		fmt.Println(opts.Config + ": ok")
		return ExitOK
	}
	return serve(name, common, build, func() (any, error) {
		fresh := reflect.New(reflect.TypeOf(target).Elem()).Interface()
		return fresh, settings.Load(opts.Config, fresh)
	})
}

func fail(err error, code int) int {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// serve runs the wired process until a signal or a failure. At SIGHUP it reads
// the settings anew.
func serve(name string, common *Common, build func(Env) (Service, error), read func() (any, error)) int {
	debug.SetGCPercent(common.GCPercent)
	logger := NewLogger(common, name)
	set := metrics.NewSet()
	failed := make(chan error, 1)
	env := Env{Log: logger, Metrics: set, Fail: func(err error) {
		select {
		case failed <- err:
		default:
		}
	}}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	svc, err := build(env)
	if err != nil {
		logger.Error("Start failed.", "err", err)
		return ExitFailed
	}
	admin, err := startAdmin(common, set, svc, env.Fail)
	if err != nil {
		logger.Error("Start failed.", "err", err)
		return ExitFailed
	}
	logger.Info("Started.", "version", Version)
	for {
		select {
		case <-hup:
			reload(logger, svc, read)
		case <-ctx.Done():
			return shutdown(logger, common, svc, admin, ExitOK)
		case err := <-failed:
			logger.Error("Stopping after a failure.", "err", err)
			return shutdown(logger, common, svc, admin, ExitFailed)
		}
	}
}

// reload gives the service the settings as they stand now. Settings that
// cannot be used change nothing.
func reload(logger *log.Logger, svc Service, read func() (any, error)) {
	fresh, err := read()
	if r, ok := svc.(Reloader); ok && err == nil {
		err = r.Reload(fresh)
	}
	if err != nil {
		logger.Error("The settings were not taken; the old ones stay.", "err", err)
		return
	}
	logger.Info("Settings read again.")
}

func shutdown(logger *log.Logger, common *Common, svc Service, admin *http.Server, code int) int {
	ctx, cancel := context.WithTimeout(context.Background(), common.DrainTime)
	defer cancel()
	if err := svc.Shutdown(ctx); err != nil {
		logger.Error("Stop was not in order.", "err", err)
		code = ExitFailed
	}
	_ = admin.Close()
	logger.Info("Stopped.")
	return code
}

// NewLogger returns a logger with a fixed prefix.
func NewLogger(common *Common, prefix string) *log.Logger {
	level, err := log.ParseLevel(common.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	l := log.NewWithOptions(os.Stderr, log.Options{Prefix: prefix, Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	switch common.LogFormat {
	case "json":
		l.SetFormatter(log.JSONFormatter)
	case "logfmt":
		l.SetFormatter(log.LogfmtFormatter)
	}
	return l
}

// startAdmin serves metrics and health.
func startAdmin(common *Common, set *metrics.Set, svc Service, fail func(error)) (*http.Server, error) {
	l, err := net.Listen("tcp", string(common.AdminListen))
	if err != nil {
		return nil, err
	}
	h := AdminHandler(set, svc)
	if common.Profiling {
		h = withProfiling(h)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: adminHeaderTime}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			fail(err)
		}
	}()
	return srv, nil
}

// AdminHandler serves /metrics, /healthz and /readyz.
func AdminHandler(set *metrics.Set, svc Service) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !svc.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	return m
}

// withProfiling adds the profiles of net/http/pprof.
func withProfiling(h http.Handler) http.Handler {
	m := http.NewServeMux()
	m.Handle("/", h)
	m.HandleFunc("/debug/pprof/", pprof.Index)
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	m.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return m
}

// WarnRestart logs a warning when settings have changed besides those that
// were taken, which without clears in a copy.
func WarnRestart[S any](logger *log.Logger, old, fresh *S, without func(*S)) {
	a, b := *old, *fresh
	without(&a)
	without(&b)
	if !reflect.DeepEqual(a, b) {
		logger.Warn("Other settings have changed; they take effect at the next start.")
	}
}
