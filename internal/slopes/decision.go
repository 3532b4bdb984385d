package main

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
)

// decisionBenchmarks are the benchmarks of what a gateway and an agent decide
// for each request, by package.
var decisionBenchmarks = []struct{ pkg, pattern string }{
	{"./routing", "BenchmarkChoose"},
	{"./membership", "BenchmarkVerdicts2900"},
	{"./admission", "BenchmarkQueue"},
}

// benchTime is long enough for decisions that take at most a few milliseconds.
const benchTime = "100ms"

// decisions runs the benchmarks of decisions and prints their results.
func decisions(ctx context.Context) error {
	fmt.Println("\ncost of decisions")
	for _, b := range decisionBenchmarks {
		out, err := exec.CommandContext(ctx, "go", "test", "-run", "^$", "-bench", b.pattern, "-benchtime", benchTime, b.pkg).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%s: %w\n%s", b.pkg, err, out)
		}
		for line := range strings.Lines(string(out)) {
			if strings.HasPrefix(line, "Benchmark") {
				fmt.Print(line)
			}
		}
	}
	return nil
}
