package routing

// doesNotServe rejects endpoints that do not serve the requested model or
// service.
func doesNotServe(e *evaluation) bool {
	if e.req.Model == "" {
		return e.cand.Service != e.req.Service
	}
	return !e.cand.Models[e.req.Model]
}
