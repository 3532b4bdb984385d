package admission

import "github.com/micarudder/micarudder/routing"

// priorityLevels is the number of workspace priorities told apart within a
// class: those that declarations allow.
const priorityLevels = 10

// EnginePriority returns the priority that an item's run has at the engine,
// lower first: by class, so that short prefill passes long prefill between
// chunks, then by the workspace's priority.
func EnginePriority(it Item) int {
	level := min(int(it.Priority), priorityLevels-1)
	return int(it.Class)*priorityLevels + level
}

// shareOf returns an item's share among workspaces: its weight, halved for
// each step of lower priority.
func shareOf(it Item) float64 {
	level := min(it.Priority, priorityLevels-1)
	return float64(max(1, it.Weight)) / float64(uint(1)<<level)
}

// shorter reports whether class a passes class b at the engine.
func shorter(a, b routing.Class) bool { return a < b }
