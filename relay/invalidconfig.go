package relay

import (
	"errors"
	"slices"
	"time"

	"github.com/micarudder/micarudder/catalog"
)

// handleUnusableConfiguration handles a read, sent at that time, that found the operators' entry invalid
// or missing. The configuration in force then stays in force, and the read proves it, since nothing
// valid has replaced it; otherwise one wrong entry would make all gateways refuse all keys. An entry
// that withdraws keys proves nothing.
func (g *Gateway) handleUnusableConfiguration(err error, sent time.Time) {
	table := g.state.Table()
	if table == nil {
		g.state.RecordNoConfiguration(sent)
		if !errors.Is(err, ErrNoConfiguration) {
			g.recordConfigurationProblem(err)
		}
		return
	}
	g.recordConfigurationProblem(err)
	var invalid *InvalidConfigurationError
	if errors.As(err, &invalid) && !keepsKeys(table, invalid) {
		g.state.RecordUnprovenRead(sent)
		return
	}
	g.state.RecordOwnProof(table.Version, sent)
}

// isUnusableConfiguration reports whether a read reached the store and found no usable configuration.
func isUnusableConfiguration(err error) bool {
	var invalid *InvalidConfigurationError
	return errors.Is(err, ErrNoConfiguration) || errors.As(err, &invalid)
}

// keepsKeys reports whether an invalid entry withdraws no key of the configuration in force, as far as
// it can be read.
func keepsKeys(table *catalog.Table, invalid *InvalidConfigurationError) bool {
	if !invalid.KeysKnown || !table.KeysRequired {
		return true
	}
	for _, w := range table.Workspaces {
		for _, key := range w.Keys {
			if !slices.Contains(invalid.Keys, key) {
				return false
			}
		}
	}
	return true
}

// recordConfigurationProblem records why the operators' entry cannot be used, or that it can be if err
// is nil, and logs each change.
func (g *Gateway) recordConfigurationProblem(err error) {
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	if before := g.configProblem.Swap(&problem); before == nil && problem == "" || before != nil && *before == problem {
		return
	}
	if problem == "" {
		g.meter.configurationInvalid.Set(0)
		g.deps.Log.Logger().Info("The configuration's entry can be used again.", "version", g.state.Version())
		return
	}
	var invalid *InvalidConfigurationError
	var revision uint64
	if errors.As(err, &invalid) {
		revision = invalid.Revision
	}
	g.meter.configurationInvalid.Set(1)
	g.deps.Log.Logger().Error("The configuration's entry cannot be used; the version in force stays.", "err", err, "revision", revision, "version", g.state.Version())
}

// configurationProblem returns why the operators' entry cannot be used, as this gateway read it itself;
// empty if it can be.
func (g *Gateway) configurationProblem() string {
	if p := g.configProblem.Load(); p != nil {
		return *p
	}
	return ""
}
