package e2e

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longPrompt returns a prompt of n tokens that begins with a name.
func longPrompt(name string, n int) string {
	p := name + " " + strings.Repeat("word", n)
	return p[:4*n]
}

var patient = map[string]string{"Rudder-Deadline": "50m"}

// fleet starts engines of 450,000 tokens each and a gateway.
func (b *bubble) fleet(engines int) {
	for i := range engines {
		b.engine(fmt.Sprintf("e%d", i+1), nil)
	}
	b.gateway("gw1")
	b.publish()
}

func TestLongPromptOverFour(t *testing.T) {
	run(t, func(b *bubble) {
		is := is.New(b.t)
		b.fleet(4)
		prompt := longPrompt("archive", 1_000_000)
		began := time.Now()
		r := b.ask("gw1", "POST", chatPath, chat(prompt, 32, true), patient)
		b.t.Log("took", time.Since(began), r.body, r.problem)
		is.NoErr(r.err)
		is.Equal(r.status, 200)
		is.Equal(r.text, answerTo(prompt, 32))
		is.True(r.done)
		time.Sleep(10 * time.Second)
		b.allFree()
	})
}
