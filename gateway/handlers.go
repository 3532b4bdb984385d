package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/micarudder/micarudder/heldmemory"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// callerHandler is the HTTP handler of the callers' API.
type callerHandler struct{ app *iris.Application }

// ServeHTTP implements http.Handler.
func (m *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.app.ServeHTTP(w, r) }

// Handler returns the handler of the callers' API.
func (g *Gateway) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutAutoFireStatusCode)
	app.Post("/v1/chat/completions", g.callerRoute(g.serveCompletion))
	app.Post("/v1/completions", g.callerRoute(g.serveCompletion))
	app.Get("/v1/models", g.callerRoute(g.serveModels))
	app.Post("/v1/tickets", g.callerRoute(g.serveTickets))
	app.Get("/v1/runs/{ticket:string}", g.callerRoute(g.serveAttach))
	app.Delete("/v1/runs/{ticket:string}", g.callerRoute(g.serveVoid))
	app.Any("/services/{name:string}/{path:path}", g.callerRoute(g.serveService))
	app.Any("/services/{name:string}", g.callerRoute(g.serveService))
	app.Any("/{path:path}", func(ctx iris.Context) {
		g.refuse(ctx.ResponseWriter(), ctx.Request(), result.New(result.MethodNotServed, ctx.Path()))
	})
	if err := app.Build(); err != nil {
		return nil, err
	}
	return &callerHandler{app}, nil
}

// ServeCallers serves the callers' connections of l with srv, which has the handler that Handler returns.
func (g *Gateway) ServeCallers(srv *http.Server, l net.Listener) error {
	return g.callers.Serve(srv, l)
}

// exchange is one HTTP exchange with an authenticated caller.
type exchange struct {
	w         http.ResponseWriter
	r         *http.Request
	workspace *rudderv1.Workspace
	param     func(string) string
	raw       http.ResponseWriter // the server's own writer, for informational responses and deadlines
	body      *heldmemory.Body    // nil: not read
}

// callerRoute wraps a handler with what all requests of callers have in common:
// it counts the request as in flight, refuses it if the gateway takes no new ones,
// and authenticates the caller.
func (g *Gateway) callerRoute(h func(*exchange)) iris.Handler {
	return func(ctx iris.Context) {
		w := ctx.ResponseWriter()
		if g.drain.Begun() {
			w.Header().Set("Connection", "close") // so that the next request goes to another gateway
		}
		if !g.beginRequest() {
			g.refuse(w, ctx.Request(), errDraining())
			return
		}
		defer g.endRequest()
		work, cancel := g.drain.WithWork(ctx.Request().Context())
		defer cancel()
		r := ctx.Request().WithContext(work)
		ws, err := g.auth.workspace(r, g.awaitConfiguration(work))
		if err != nil {
			g.refuse(w, r, err)
			return
		}
		x := &exchange{w: w, r: r, workspace: ws, param: ctx.Params().Get, raw: w.Naive()}
		defer func() { x.body.Release() }()
		h(x)
	}
}

// newCallerRequest reads the headers that all kinds of requests have in common.
func (g *Gateway) newCallerRequest(x *exchange, repeatable bool) (*callerRequest, *result.Err) {
	deadline, err := g.readDeadline(x.r, time.Now())
	if err != nil {
		return nil, err
	}
	repeatable, err = readRepeatable(x.r, repeatable)
	if err != nil {
		return nil, err
	}
	skip, err := readOffset(x.r)
	if err != nil {
		return nil, err
	}
	cr := &callerRequest{
		id: newID(), workspace: x.workspace, repeatable: repeatable, hasKey: x.r.Header.Get(headerKey) != "",
		deadline: deadline, resumeOffset: skip,
	}
	if err := g.readPresentedTicket(x, cr); err != nil {
		return nil, err
	}
	return cr, nil
}

// readPresentedTicket reads the ticket in the request's headers, if any.
func (g *Gateway) readPresentedTicket(x *exchange, cr *callerRequest) *result.Err {
	text := x.r.Header.Get(headerTicket)
	if text == "" {
		return nil
	}
	claims, err := g.readTicket(text, x.workspace)
	if err != nil {
		return err
	}
	cr.ticket, cr.claims, cr.id, cr.repeatable = text, claims, claims.RequestId, claims.Repeatable
	return nil
}

// serveCompletion serves both completion paths.
func (g *Gateway) serveCompletion(x *exchange) {
	body, err := g.readBody(x)
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	c, err := readCompletion(body)
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	cr, err := g.newCallerRequest(x, true)
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	cr.body = body
	if cr.completion, err = g.newCompletion(c, x.r.URL.Path, x.workspace); err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	if err := g.limits.admit(x.workspace.Name, cr.completion.PromptTokens+cr.completion.MaxTokens); err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	defer g.limits.done(x.workspace.Name)
	if err := g.claim(x, cr); err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	if !c.Stream {
		cr.resumeOffset = 0 // without streaming, the response is always sent complete
	}
	out := newCompletionWriter(g, x, cr, c.Model, c.Stream, x.r.URL.Path)
	out.finish(g.serve(x.r.Context(), cr, out))
}

// serveModels lists the models that the workspace may use.
func (g *Gateway) serveModels(x *exchange) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, m := range g.deps.Tracker.Document().Models {
		if !allowed(x.workspace.Models, m.Name) {
			continue
		}
		list = append(list, model{m.Name, "model", "micarudder"})
		for _, a := range m.Adapters {
			list = append(list, model{a.Name, "model", "micarudder"})
		}
	}
	writeJSON(x.w, map[string]any{"object": "list", "data": list})
}
