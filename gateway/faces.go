package gateway

import (
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

// mux is the callers' face as an http.Handler.
type mux struct{ app *iris.Application }

// ServeHTTP implements http.Handler.
func (m *mux) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.app.ServeHTTP(w, r) }

// Handler returns the callers' face.
func (g *Gateway) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutAutoFireStatusCode)
	app.Post("/v1/chat/completions", g.face(g.serveCompletion))
	app.Post("/v1/completions", g.face(g.serveCompletion))
	app.Get("/v1/models", g.face(g.serveModels))
	app.Post("/v1/tickets", g.face(g.serveTickets))
	app.Get("/v1/runs/{ticket:string}", g.face(g.serveAttach))
	app.Delete("/v1/runs/{ticket:string}", g.face(g.serveVoid))
	app.Any("/services/{name:string}/{path:path}", g.face(g.serveService))
	app.Any("/services/{name:string}", g.face(g.serveService))
	app.Any("/{path:path}", func(ctx iris.Context) {
		g.refuse(ctx.ResponseWriter(), ctx.Request(), result.New(result.MethodNotServed, ctx.Path()))
	})
	if err := app.Build(); err != nil {
		return nil, err
	}
	return &mux{app}, nil
}

// exchange is one HTTP exchange of an authenticated caller.
type exchange struct {
	w         http.ResponseWriter
	r         *http.Request
	workspace *rudderv1.Workspace
	param     func(string) string
	raw       http.ResponseWriter // the server's own writer, for informational responses and deadlines
}

// face wraps a handler with what every caller's request needs.
func (g *Gateway) face(h func(*exchange)) iris.Handler {
	return func(ctx iris.Context) {
		w := ctx.ResponseWriter()
		if g.leaving.Load() {
			w.Header().Set("Connection", "close") // the next request finds another gateway
		}
		if !g.enter() {
			err := result.New(result.Draining, "")
			err.RetryAfter = comeBack.Milliseconds()
			g.refuse(w, ctx.Request(), err)
			return
		}
		defer g.leave()
		ws, err := g.auth.workspace(ctx.Request(), g.configured(ctx.Request().Context()))
		if err != nil {
			g.refuse(w, ctx.Request(), err)
			return
		}
		h(&exchange{w: w, r: ctx.Request(), workspace: ws, param: ctx.Params().Get, raw: w.Naive()})
	}
}

// newOrder reads what the headers say about any kind of request.
func (g *Gateway) newOrder(x *exchange, repeatable bool) (*order, *result.Err) {
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
	o := &order{
		id: newID(), workspace: x.workspace, repeatable: repeatable, keyed: x.r.Header.Get(headerKey) != "",
		deadline: deadline, skip: skip,
	}
	if err := g.present(x, o); err != nil {
		return nil, err
	}
	return o, nil
}

// present reads the ticket that the caller presents, if any.
func (g *Gateway) present(x *exchange, o *order) *result.Err {
	text := x.r.Header.Get(headerTicket)
	if text == "" {
		return nil
	}
	claims, err := g.readTicket(text, x.workspace)
	if err != nil {
		return err
	}
	o.ticket, o.claims, o.id, o.repeatable = text, claims, claims.RequestId, claims.Repeatable
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
	o, err := g.newOrder(x, true)
	if err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	o.body = body
	if o.completion, err = g.completion(c, x.r.URL.Path, x.workspace); err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	if err := g.limits.admit(x.workspace.Name, o.completion.PromptTokens+o.completion.MaxTokens); err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	defer g.limits.done(x.workspace.Name)
	if err := g.claim(x, o); err != nil {
		g.refuse(x.w, x.r, err)
		return
	}
	if !c.Stream {
		o.skip = 0 // an answer in one document is always whole
	}
	out := newCompletionWriter(g, x, o, c.Model, c.Stream, x.r.URL.Path)
	out.finish(g.serve(x.r.Context(), o, out))
}

// serveModels lists the models of the workspace.
func (g *Gateway) serveModels(x *exchange) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for _, m := range g.deps.Keeper.Document().Models {
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
