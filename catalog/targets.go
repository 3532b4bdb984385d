package catalog

// PickService returns the name of one of the route's target services. random returns a number from 0 to below
// its argument; each service is as likely as its weight. Without any weight the name is empty.
func (r *Route) PickService(random func(n int) int) string {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	if sum <= 0 {
		return ""
	}
	n := random(sum)
	for _, t := range r.Targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return ""
}

// SameTargets reports whether other is the same route and has the same target services, whatever their weights.
func (r *Route) SameTargets(other *Route) bool {
	if r == other {
		return true
	}
	if r.Name != other.Name || len(r.Targets) != len(other.Targets) {
		return false
	}
	for i := range r.Targets {
		if r.Targets[i].Service != other.Targets[i].Service {
			return false
		}
	}
	return true
}
