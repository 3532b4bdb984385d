package ctl

import (
	"fmt"
	"net/http"
	"time"

	"github.com/micarudder/micarudder/burn"
	"github.com/micarudder/micarudder/internal/sleep"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/slo"
)

type burnCommand struct {
	app        *app
	Admin      []string      `long:"admin" value-name:"IP:PORT" description:"a gateway's admin address; may be repeated"`
	History    string        `long:"history" value-name:"FILE" description:"file of samples, read, added to and pruned"`
	Objectives string        `long:"objectives" value-name:"FILE" description:"objectives file (default: the built-in objectives)"`
	Samples    int           `long:"samples" default:"1" description:"samples to take now; 0 reports from the history alone"`
	Every      time.Duration `long:"every" default:"15s" value-name:"DURATION" description:"time between two samples"`
	HTML       string        `long:"html" value-name:"FILE" description:"write the report as a page"`
}

// unbounded implements longRunning: --samples and --every determine the duration.
func (c *burnCommand) unbounded() {}

// Execute implements flags.Commander.
func (c *burnCommand) Execute([]string) error {
	if c.Samples > 0 && len(c.Admin) == 0 {
		return usageError("--admin is needed to take samples")
	}
	conf, err := c.config()
	if err != nil {
		return err
	}
	samples, err := c.collect(conf)
	if err != nil {
		return err
	}
	rep := burn.NewReport(samples, c.reportTime(samples), conf)
	if rep.Firing() != "" {
		c.app.exit = ExitFiring
	}
	if err := writeFile(c.HTML, rep.WriteHTML); err != nil {
		return err
	}
	if c.app.JSON {
		return rep.WriteJSON(c.app.Stdout)
	}
	return rep.WriteText(c.app.Stdout)
}

// reportTime returns the time of the report: that of the last sample taken, or the
// current time if only the history is read.
func (c *burnCommand) reportTime(samples []slo.Sample) time.Time {
	if c.Samples > 0 && len(samples) > 0 {
		return samples[len(samples)-1].At
	}
	return c.app.Now().UTC()
}

func (c *burnCommand) config() (*slo.Config, error) {
	if c.Objectives == "" {
		return slo.DefaultConfig(), nil
	}
	conf, err := slo.ReadConfig(c.Objectives)
	if err != nil {
		return nil, result.New(result.BadRequest, err.Error())
	}
	return conf, nil
}

// collect reads the history, takes samples and writes the pruned history back.
func (c *burnCommand) collect(conf *slo.Config) ([]slo.Sample, error) {
	var samples []slo.Sample
	if c.History != "" {
		history, err := burn.ReadHistory(c.History)
		if err != nil {
			return nil, result.New(result.BadRequest, err.Error())
		}
		samples = history
	}
	s := burn.Sampler{Client: http.DefaultClient, URLs: urls(c.Admin, "/metrics"), Goals: conf.Goals()}
	for i := range c.Samples {
		if i > 0 && !sleep.For(c.app.ctx, c.Every) {
			break
		}
		one, err := c.sample(&s)
		if err != nil {
			return nil, err
		}
		samples = append(samples, one)
	}
	if c.History == "" || c.Samples == 0 {
		return samples, nil
	}
	samples = burn.Prune(samples, c.reportTime(samples), conf.WindowList())
	return samples, burn.WriteHistory(c.History, samples)
}

// sample takes one sample. If some gateways do not answer, the command exits
// with ExitPartial; if none answers, it fails.
func (c *burnCommand) sample(s *burn.Sampler) (slo.Sample, error) {
	one, err := s.Sample(c.app.ctx)
	if err == nil {
		return one, nil
	}
	if len(one.Gateways) == 0 {
		return one, result.New(result.PlatformAway, "no gateway answers: "+err.Error())
	}
	c.app.exit = ExitPartial
	fmt.Fprintln(c.app.Stderr, "rudderctl:", err)
	return one, nil
}
