package slo

import (
	"time"

	"github.com/micarudder/micarudder/settings"
)

// Config is the contents of an objectives file.
type Config struct {
	FirstToken struct {
		Good     float64       `key:"good" default:"0.99" min:"0" max:"0.99999" help:"part of first tokens within the goal"`
		Goal4k   time.Duration `key:"goal_4k" default:"1s" min:"1ms" help:"goal of prompts to 4k tokens"`
		Goal32k  time.Duration `key:"goal_32k" default:"4s" min:"1ms" help:"goal of prompts to 32k tokens"`
		Goal128k time.Duration `key:"goal_128k" default:"20s" min:"1ms" help:"goal of prompts to 128k tokens"`
		Goal1M   time.Duration `key:"goal_1m" default:"5m" min:"1ms" help:"goal of longer prompts"`
	} `section:"first_token"`
	Slowdown struct {
		Good float64 `key:"good" default:"0.95" min:"0" max:"0.99999" help:"part of short requests not slowed down beyond the gateways' goal"`
	} `section:"slowdown"`
	Outcomes struct {
		Good float64 `key:"good" default:"0.999" min:"0" max:"0.99999" help:"part of requests answered whole"`
	} `section:"outcomes"`
	Windows map[string]WindowConfig `section:"window *"`
}

// WindowConfig is one pair of windows as configured; see Window.
type WindowConfig struct {
	Long     time.Duration `key:"long" required:"true" min:"1s" help:"the window that says that it matters"`
	Short    time.Duration `key:"short" required:"true" min:"1s" help:"the window that says that it goes on"`
	Rate     float64       `key:"rate" required:"true" min:"0" help:"burn rate at which both call for attention"`
	Severity string        `key:"severity" default:"page" allowed:"page|ticket" help:"how soon to act"`
}

// DefaultWindows are used when the file defines none. They fire when 2 % of a
// month's error budget is spent in an hour, 5 % in six hours or 10 % in three days.
var DefaultWindows = []Window{
	{Long: time.Hour, Short: 5 * time.Minute, Rate: 14.4, Severity: Page},
	{Long: 6 * time.Hour, Short: 30 * time.Minute, Rate: 6, Severity: Page},
	{Long: 72 * time.Hour, Short: 6 * time.Hour, Rate: 1, Severity: Ticket},
}

// ReadConfig reads and checks an objectives file.
func ReadConfig(file string) (*Config, error) {
	c := new(Config)
	if err := settings.Load(file, c); err != nil {
		return nil, err
	}
	return c, nil
}

// DefaultConfig returns the objectives of an empty file.
func DefaultConfig() *Config {
	c := new(Config)
	if err := settings.Defaults(c); err != nil {
		panic(err) // only an invalid struct tag causes this
	}
	return c
}

// Check implements settings.Checker. The short window of a pair must not be longer than the
// long one.
func (c *Config) Check() []*settings.Mistake {
	var out []*settings.Mistake
	for name, w := range c.Windows {
		if w.Short > w.Long {
			out = append(out, &settings.Mistake{Section: "window " + name, Key: "short", Problem: "is longer than long"})
		}
	}
	return out
}

// Objectives returns the objectives in report order.
func (c *Config) Objectives() []Objective {
	return []Objective{
		{FirstToken, c.FirstToken.Good},
		{Slowdown, c.Slowdown.Good},
		{Outcomes, c.Outcomes.Good},
	}
}

// WindowList returns the configured windows, shortest long window first, or DefaultWindows.
func (c *Config) WindowList() []Window {
	if len(c.Windows) == 0 {
		return DefaultWindows
	}
	var out []Window
	for _, w := range c.Windows {
		out = append(out, Window{Long: w.Long, Short: w.Short, Rate: w.Rate, Severity: Severity(w.Severity)})
	}
	sortWindows(out)
	return out
}

// Goals returns the longest acceptable time to first token by class.
func (c *Config) Goals() map[string]time.Duration {
	f := c.FirstToken
	return map[string]time.Duration{"4k": f.Goal4k, "32k": f.Goal32k, "128k": f.Goal128k, "1M": f.Goal1M}
}
