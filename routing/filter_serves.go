package routing

// doesNotServe rejects endpoints that do not serve the requested model or
// service.
func doesNotServe(j *job) bool {
	if j.req.Model == "" {
		return j.cand.Service != j.req.Service
	}
	return !j.cand.Models[j.req.Model]
}
