package main

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
)

// decisionBenchmarks lists the benchmarks of the decisions that a gateway and an
// agent make for each request, by package.
var decisionBenchmarks = []struct{ pkg, pattern string }{
	{"./routing", "BenchmarkChoose"},
	{"./membership", "BenchmarkVerdicts2900"},
	{"./admission", "BenchmarkQueue"},
}

// benchTime is long enough for decisions that take at most a few milliseconds.
const benchTime = "100ms"

// runDecisionBenchmarks runs the benchmarks and prints their results.
func runDecisionBenchmarks(ctx context.Context) error {
	fmt.Println("\ncost of decisions")
	for _, b := range decisionBenchmarks {
		out, err := exec.CommandContext(ctx, "go", "test", "-run", "^$", "-bench", b.pattern, "-benchtime", benchTime, b.pkg).CombinedOutput()
		if err != nil {
			return fmt.Errorf("benchmark %s: %w\n%s", b.pkg, err, out)
		}
		for line := range strings.Lines(string(out)) {
			if strings.HasPrefix(line, "Benchmark") {
				fmt.Print(line)
			}
		}
	}
	return nil
}
