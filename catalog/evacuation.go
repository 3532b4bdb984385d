package catalog

import "slices"

// Evacuations are the data centres whose endpoints must get no requests, as the operators last asked
// for. The zero value means that no read is known.
type Evacuations struct {
	// Era and Revision identify the read of the store: reads with a higher era, or with the same era
	// and a higher revision, are newer.
	Era, Revision uint64
	DataCentres   []string // sorted
}

// NewerThan reports whether e comes from a newer read than o.
func (e Evacuations) NewerThan(o Evacuations) bool {
	if e.Era != o.Era {
		return e.Era > o.Era
	}
	return e.Revision > o.Revision
}

// Including returns e with the data centres of o added.
func (e Evacuations) Including(o Evacuations) Evacuations {
	e.DataCentres = slices.Concat(e.DataCentres, o.DataCentres)
	slices.Sort(e.DataCentres)
	e.DataCentres = slices.Compact(e.DataCentres)
	return e
}
