package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/uuid"

	"github.com/micarudder/micarudder/load"
	"github.com/micarudder/micarudder/result"
)

// runNameLength is the length of the random name that distinguishes the tags of different runs.
const runNameLength = 8

type loadCommand struct {
	app     *app
	Callers []string `long:"callers" required:"true" value-name:"IP:PORT" description:"a gateway's address for callers; may be repeated"`
	Engines []string `long:"engine" value-name:"IP:PORT" description:"a stand-in engine whose record of executions is joined; may be repeated"`
	Seed    uint64   `long:"seed" default:"1" description:"seed of the arrivals"`
	Load    float64  `long:"load" default:"1" description:"factor on the mix's rate"`
	Alone   bool     `long:"alone" description:"first run the short requests alone, to report their slowdown"`
	HTML    string   `long:"html" value-name:"FILE" description:"write the report as a page"`
	Records string   `long:"records" value-name:"FILE" description:"write every request as a line of JSON"`
	Args    struct {
		Mix string `positional-arg-name:"MIX" required:"1" description:"load mix file"`
	} `positional-args:"true"`
}

// unbounded implements longRunning: the load mix determines the duration of a run.
func (c *loadCommand) unbounded() {}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	e, err := c.experiment()
	if err != nil {
		return err
	}
	update, end := load.Progress(c.app.Stderr, e.MixName, e.Requests())
	e.Progress = update
	rep, err := load.Run(c.app.ctx, e)
	end()
	if rep == nil {
		return err
	}
	if werr := c.write(rep); werr != nil {
		return werr
	}
	if rep.HasBreaches() {
		c.app.exit = ExitBroken
	}
	return err
}

func (c *loadCommand) experiment() (load.Experiment, error) {
	e := load.Experiment{Alone: c.Alone}
	mix, err := load.ReadMix(c.Args.Mix)
	if err != nil {
		return e, result.New(result.BadRequest, err.Error())
	}
	e.MixName = strings.TrimSuffix(filepath.Base(c.Args.Mix), filepath.Ext(c.Args.Mix))
	e.Mix, e.Seed, e.Load = mix, c.Seed, c.Load
	e.Name = uuid.NewString()[:runNameLength]
	e.Gateways, e.Engines = urls(c.Callers, ""), urls(c.Engines, "")
	return e, nil
}

func (c *loadCommand) write(rep *load.Report) error {
	if err := writeFile(c.HTML, rep.WriteHTML); err != nil {
		return err
	}
	if err := writeFile(c.Records, func(w io.Writer) error { return writeRecords(w, rep.Records) }); err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.writeJSON(rep)
	}
	return rep.WriteText(c.app.Stdout)
}

func writeRecords(w io.Writer, records []load.Record) error {
	e := json.NewEncoder(w)
	for _, r := range records {
		if err := e.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// urls returns the URLs of a path at the addresses.
func urls(addresses []string, path string) []string {
	out := make([]string, len(addresses))
	for i, a := range addresses {
		out[i] = fmt.Sprintf("http://%s%s", a, path)
	}
	return out
}

// writeFile creates a file with the contents that write produces. It does nothing if
// name is empty.
func writeFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return result.New(result.BadRequest, err.Error())
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
