package admission

import "github.com/micarudder/micarudder/routing"

// priorityLevels is the number of workspace priorities that are distinguished within a
// class, the same as in declarations.
const priorityLevels = 10

// EnginePriority returns the priority of an item's run at the engine, lower values
// first: by class, so that short prefill preempts long prefill between chunks, then by the
// workspace's priority.
func EnginePriority(it Item) int {
	level := min(int(it.Priority), priorityLevels-1)
	return int(it.Class)*priorityLevels + level
}

// shareOf returns an item's share among workspaces: its weight, halved for each lower
// priority level.
func shareOf(it Item) float64 {
	level := min(it.Priority, priorityLevels-1)
	return float64(max(1, it.Weight)) / float64(uint(1)<<level)
}

// shorter reports whether class a is shorter than class b and preempts it at the engine.
func shorter(a, b routing.Class) bool { return a < b }
