package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// callerHostMemory and callerHostFiles are the memory and the open files of a gateway's host in runs with
	// Config.HostileCallers.
	callerHostMemory = 284 << 20
	callerHostFiles  = 4200
	// hostileHeadBytes is the size of a head whose end is held back; a few less than are allowed.
	hostileHeadBytes = 15_000
	// trickleInterval is the time between two bytes of a body that trickles.
	trickleInterval = 100 * time.Millisecond
	// hostileDialDelay is the pause after a connection that did not come about.
	hostileDialDelay = 10 * time.Millisecond
	// maxRefusedPercent is the most requests of sound callers, in percent, that may be refused beside the others, and
	// maxUnreadPercent the most whose connection may end unread where all connections are taken.
	maxRefusedPercent = 5
	maxUnreadPercent  = 1
)

// callerHostSettings are the gateways' settings for runs with Config.HostileCallers.
var callerHostSettings = fmt.Sprintf("host_memory = %dMiB\nmax_files = %d\n", callerHostMemory>>20, callerHostFiles)

// HostileForm is what callers without a key do with connections that they open again and again.
type HostileForm string

// The forms.
const (
	HeadsInShortFields HostileForm = "heads in short fields"
	HeadsInLongFields  HostileForm = "heads in long fields"
	SilentConnections  HostileForm = "nothing is sent"
	TrickledBodies     HostileForm = "bodies that trickle"
	ShortConnections   HostileForm = "open and close"
)

// HostileForms returns all forms.
func HostileForms() []HostileForm {
	return []HostileForm{HeadsInShortFields, HeadsInLongFields, SilentConnections, TrickledBodies, ShortConnections}
}

// takesConnections reports whether the callers use up the gateway's connections, or the kernel's queue of new ones, so
// that some that others open are refused or do not come about.
func (f HostileForm) takesConnections() bool { return f == SilentConnections || f == ShortConnections }

// use does with a new connection what the form says, until the connection ends or ctx does.
func (f HostileForm) use(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	begin := "POST /safe/x HTTP/1.1\r\nHost: " + soakHost + "\r\n"
	switch f {
	case HeadsInShortFields:
		_, _ = io.WriteString(c, begin+shortFields(hostileHeadBytes))
	case HeadsInLongFields:
		_, _ = io.WriteString(c, begin+strings.Repeat("Field: "+strings.Repeat("x", 200)+"\r\n", hostileHeadBytes/209))
	case TrickledBodies:
		trickle(c, begin+"Request-Id: t\r\nContent-Length: 100000\r\n\r\n")
	case ShortConnections:
		return
	}
	_, _ = io.Copy(io.Discard, c) // until the gateway closes the connection
}

// shortFields returns header fields with short names, which differ, and no value.
func shortFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// trickle sends a head and then a byte at a time.
func trickle(c net.Conn, head string) {
	_, err := io.WriteString(c, head)
	for err == nil {
		time.Sleep(trickleInterval)
		_, err = c.Write([]byte("x"))
	}
}

// runHostileCallers keeps so many connections to each of the addresses busy, until ctx ends.
func (r *run) runHostileCallers(ctx context.Context, tasks *sync.WaitGroup) {
	for i := range r.c.Gateways {
		for _, port := range r.c.hostilePorts() {
			address := fmt.Sprintf("%s:%d", r.host(i), port)
			for range r.c.HostileConns {
				tasks.Go(func() { r.c.HostileCallers.repeat(ctx, address) })
			}
		}
	}
}

// hostilePorts returns the ports that hostile callers connect to.
func (c *Config) hostilePorts() []int {
	if c.HostileServicePorts {
		return []int{readyPort, peerPort, adminPort}
	}
	return []int{servicePort}
}

func (f HostileForm) repeat(ctx context.Context, address string) {
	dialer := net.Dialer{Timeout: requestTimeout}
	for ctx.Err() == nil {
		c, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			time.Sleep(hostileDialDelay)
			continue
		}
		f.use(ctx, c)
	}
}

// checkHostile verifies that no gateway ended or needed more than its host's memory, and that the requests of sound
// callers had complete responses, hardly any of them a refusal. unread is how many had none since their connection was
// refused, or did not come about.
func checkHostile(form HostileForm, all []request, f *facts) (out []string, unread int) {
	for name := range f.ended {
		out = append(out, name+" ended by itself")
	}
	for name, used := range f.memory {
		if used > callerHostMemory {
			out = append(out, fmt.Sprintf("%s occupied %d MB, %d MB allowed", name, used>>20, callerHostMemory>>20))
		}
	}
	refused := 0
	for i := range all {
		a := &all[i]
		switch {
		case a.err == nil || errors.Is(a.err, context.Canceled) || a.abandoned:
		case form.takesConnections() && a.status == 0 && len(f.ledger.Runs(a.id)) == 0:
			unread++
		default:
			out = append(out, describe(a, fmt.Sprintf("has no complete response: %v", a.err)))
		}
		if a.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	if refused*100 > len(all)*maxRefusedPercent {
		out = append(out, fmt.Sprintf("%d of %d requests of sound callers were refused", refused, len(all)))
	}
	if unread*100 > len(all)*maxUnreadPercent {
		out = append(out, fmt.Sprintf("the connections of %d of %d requests of sound callers ended unread", unread, len(all)))
	}
	return out, unread
}
