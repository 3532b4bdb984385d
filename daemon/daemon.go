// Package daemon provides what the main functions of the gateways and the agent
// have in common: the command line, validated settings, logging, the admin
// listener with metrics and health checks, and a graceful shutdown on SIGTERM
// or SIGINT.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"math"
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

	"github.com/micarudder/micarudder/daemon/keepalive"
	"github.com/micarudder/micarudder/settings"
)

// Version is the release of all programs of this repository.
const Version = "0.1.0"

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1 // could not start or did not shut down gracefully
	ExitSettings = 2 // invalid command line or settings
)

const (
	// readHeaderTimeout bounds the time for the head of a request to a server of NewServer.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes is the largest head of such a request; operators, balancers and gateways send some hundred
	// bytes.
	maxHeaderBytes = 16 << 10
)

// NewServer returns a server for operators, balancers and other processes of the product, whose requests are small.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}

const (
	// maxServiceConns is the most connections of such a server: several times the gateways that ask one of them at once.
	maxServiceConns = 512
	// serviceRefusalDelay is the pause after a connection that was one too many.
	serviceRefusalDelay = 10 * time.Millisecond
)

// Serve serves connections of l with a server that NewServer has returned.
func Serve(srv *http.Server, l net.Listener) error {
	return keepalive.New(keepalive.Options{RetryAfter: time.Second, MaxConns: maxServiceConns, EvictBodies: true, RefusalDelay: serviceRefusalDelay}).Serve(srv, l)
}

// Common holds the settings that all daemons have.
type Common struct {
	AdminListen settings.Address `key:"admin_listen" required:"true" help:"address of /metrics, /healthz and /readyz"`
	LogLevel    string           `key:"log_level" default:"info" allowed:"debug|info|warn|error" help:"least severe level that is logged"`
	LogFormat   string           `key:"log_format" default:"text" allowed:"text|json|logfmt" help:"form of the log lines"`
	Profiling   bool             `key:"profiling" default:"false" help:"whether the admin address serves /debug/pprof"`
	GCPercent   int              `key:"gc_percent" default:"50" min:"10" max:"400" help:"growth of the heap between two collections, in percent; less saves memory, more saves processor time"`
	HostMemory  settings.Size    `key:"host_memory" default:"0B" help:"memory that the process may use on this host; near four fifths of it, heap is collected earlier; 0B: not known"`
	MaxFiles    int              `key:"max_files" default:"0" min:"0" help:"descriptors that the process may use on this host; half of them serve connections of callers; 0: as many as the system allows"`
	DrainTime   time.Duration    `key:"drain_time" default:"5m" min:"0s" max:"2h" help:"longest wait for work in flight at a planned stop"`
}

// BodyMemoryPercent is the part of the host's memory, in percent, that request bodies may use.
const BodyMemoryPercent = 40

// WithinHost returns a bound on memory that is at most this part of the host's memory, in percent; 0: no bound.
func (c *Common) WithinHost(bound settings.Size, percent float64) int64 {
	share := int64(float64(c.HostMemory) * percent / 100)
	if c.HostMemory > 0 && (bound == 0 || share < int64(bound)) {
		return share
	}
	return int64(bound)
}

// reservedFiles is the number of descriptors that are not for connections.
const reservedFiles = 200

// CallerConns returns how many connections callers may have at once. As many again are left for endpoints, other
// processes and the store, since each request needs one of its own there; 0: no limit.
func (c *Common) CallerConns() int {
	files := uint64(c.MaxFiles)
	if files == 0 {
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
			return 0
		}
		files = min(limit.Cur, math.MaxInt32)
	}
	return int(max(files, reservedFiles+2)-reservedFiles) / 2
}

// Service is the running part of a daemon. Shutdown stops it gracefully: it
// accepts no new work, lets work in flight finish within ctx, and closes.
type Service interface {
	Ready() bool
	Shutdown(ctx context.Context) error
}

// Reloader is a service that applies some changes of its settings without a
// restart. Reload receives newly read and validated settings, of the type that
// the process was started with, and returns an error if it rejects them.
type Reloader interface {
	Reload(fresh any) error
}

// Env holds what a daemon passes to its service.
type Env struct {
	Log     *log.Logger
	Metrics *metrics.Set
	// Fail reports a fatal error, such as a failed listener, which ends the
	// process after a graceful shutdown.
	Fail func(error)
}

type options struct {
	Config  string `short:"c" long:"config" env:"MICARUDDER_CONFIG" description:"settings file" value-name:"FILE"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the release and exit"`
}

// Main runs a daemon and returns its exit code. It reads the settings into
// target; common points to the part of target that all daemons have.
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

// softMemoryPercent is the part of the host's memory, in percent, near which the garbage collector works
// harder. The rest is for what the runtime does not count, and for the time until a collection ends.
const softMemoryPercent = 80

// serve runs the service until a signal or a fatal error stops it, and returns
// the exit code. On SIGHUP it reloads the settings.
func serve(name string, common *Common, build func(Env) (Service, error), readSettings func() (any, error)) int {
	debug.SetGCPercent(common.GCPercent)
	if common.HostMemory > 0 {
		debug.SetMemoryLimit(int64(common.HostMemory) * softMemoryPercent / 100)
	}
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
			reload(logger, svc, readSettings)
		case <-ctx.Done():
			return shutdown(logger, common, svc, admin, ExitOK)
		case err := <-failed:
			logger.Error("Stopping after a fatal error.", "err", err)
			return shutdown(logger, common, svc, admin, ExitFailed)
		}
	}
}

// reload reads the settings again and passes them to the service. Invalid
// settings change nothing.
func reload(logger *log.Logger, svc Service, readSettings func() (any, error)) {
	fresh, err := readSettings()
	if r, ok := svc.(Reloader); ok && err == nil {
		err = r.Reload(fresh)
	}
	if err != nil {
		logger.Error("The settings were not taken; the old ones stay.", "err", err)
		return
	}
	logger.Info("Settings read again.")
}

// shutdown stops the service within the drain time and returns the exit code,
// which is code unless the shutdown fails.
func shutdown(logger *log.Logger, common *Common, svc Service, admin *http.Server, code int) int {
	ctx, cancel := context.WithTimeout(context.Background(), common.DrainTime)
	defer cancel()
	if err := svc.Shutdown(ctx); err != nil {
		logger.Error("Shutdown failed.", "err", err)
		code = ExitFailed
	}
	_ = admin.Close()
	logger.Info("Stopped.")
	return code
}

// NewLogger returns a logger that writes to standard error with a fixed prefix.
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

// startAdmin starts the admin listener, which serves metrics and health checks.
func startAdmin(common *Common, set *metrics.Set, svc Service, fail func(error)) (*http.Server, error) {
	l, err := net.Listen("tcp", string(common.AdminListen))
	if err != nil {
		return nil, err
	}
	h := AdminHandler(set, svc)
	if common.Profiling {
		h = withProfiling(h)
	}
	srv := NewServer(h)
	go func() {
		if err := Serve(srv, l); !errors.Is(err, http.ErrServerClosed) {
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

// withProfiling adds the profiling handlers of net/http/pprof.
func withProfiling(h http.Handler) http.Handler {
	m := http.NewServeMux()
	m.Handle("/", h)
	m.HandleFunc("/debug/pprof/", pprof.Index)
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	m.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return m
}

// WarnRestartRequired logs a warning if settings have changed that take effect only
// after a restart. clearReloadable clears the settings that take effect at once;
// it is called on copies.
func WarnRestartRequired[S any](logger *log.Logger, old, fresh *S, clearReloadable func(*S)) {
	a, b := *old, *fresh
	clearReloadable(&a)
	clearReloadable(&b)
	if !reflect.DeepEqual(a, b) {
		logger.Warn("Other settings have changed; they take effect at the next start.")
	}
}
