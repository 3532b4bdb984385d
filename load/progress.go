package load

import (
	"fmt"
	"io"
	"time"

	"github.com/schollz/progressbar/v3"
)

const progressThrottle = 200 * time.Millisecond

// Progress displays on w how many of total requests have ended, by final state.
// update is meant for Options.Progress; end closes the display.
func Progress(w io.Writer, title string, total int) (update func(Record), end func()) {
	bar := progressbar.NewOptions(total,
		progressbar.OptionSetWriter(w),
		progressbar.OptionSetDescription(title),
		progressbar.OptionSetWidth(20),
		progressbar.OptionShowCount(),
		progressbar.OptionSetPredictTime(false),
		progressbar.OptionThrottle(progressThrottle),
	)
	var whole, refused, broken int
	update = func(r Record) {
		switch r.Final {
		case Whole:
			whole++
		case Refused:
			refused++
		default:
			broken++
		}
		bar.Describe(fmt.Sprintf("%s: %d whole, %d refused, %d other", title, whole, refused, broken))
		_ = bar.Add(1)
	}
	end = func() {
		_ = bar.Exit()
		fmt.Fprintln(w)
	}
	return update, end
}
