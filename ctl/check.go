package ctl

import (
	"os"

	"github.com/micarudder/micarudder/declaration"
	"github.com/micarudder/micarudder/document"
	"github.com/micarudder/micarudder/result"
	"github.com/micarudder/micarudder/rudderv1"
)

type checkCommand struct {
	app  *app
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"declaration files, read as one set"`
	} `positional-args:"true"`
}

// checkSummary is the JSON output of a successful check.
type checkSummary struct {
	Models     int `json:"models"`
	Services   int `json:"services"`
	Workspaces int `json:"workspaces"`
	Hosts      int `json:"hosts"`
	Endpoints  int `json:"endpoints"`
	Bytes      int `json:"bytes"` // size of the document as stored in the platform
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	d, err := readDeclarations(c.Args.Files)
	if err != nil {
		return err
	}
	value, err := document.Encode(d)
	if err != nil {
		return err
	}
	r := checkSummary{len(d.Models), len(d.Services), len(d.Workspaces), len(d.Hosts), len(d.Endpoints), len(value)}
	if c.app.JSON {
		return c.app.writeJSON(r)
	}
	c.app.printf("accepted: %d models, %d services, %d workspaces, %d hosts, %d endpoints; %d bytes stored\n",
		r.Models, r.Services, r.Workspaces, r.Hosts, r.Endpoints, r.Bytes)
	return nil
}

func readDeclarations(names []string) (*rudderv1.Document, error) {
	files := make([]declaration.File, len(names))
	for i, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, result.New(result.BadRequest, err.Error())
		}
		files[i] = declaration.File{Name: name, Data: data}
	}
	return declaration.Parse(files...)
}
