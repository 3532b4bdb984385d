package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

const (
	// executionsUnknown is the value of Record.Executions when the records of an
	// executor are missing.
	executionsUnknown = -1
	pathExecutions    = "/executions"
	executionsTimeout = 10 * time.Second
)

// executions is the part of a stand-in's execution report that is read.
type executions struct {
	ByTag map[string]int `json:"by_tag"`
}

// join sets in each record how often its request ran. If the report of an
// executor cannot be fetched, the records keep -1 and an error is returned.
func (o Options) join(ctx context.Context, c *http.Client, records []Record) error {
	if len(o.Engines) == 0 {
		return nil
	}
	total := make(map[string]int)
	for _, url := range o.Engines {
		one, err := fetchExecutions(ctx, c, url)
		if err != nil {
			return trace.Wrap(err, "fetch execution report of %s", url)
		}
		for tag, n := range one.ByTag {
			total[tag] += n
		}
	}
	for i := range records {
		records[i].Executions = total[records[i].Tag]
	}
	return nil
}

func fetchExecutions(ctx context.Context, c *http.Client, url string) (executions, error) {
	ctx, cancel := context.WithTimeout(ctx, executionsTimeout)
	defer cancel()
	var out executions
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+pathExecutions, nil)
	if err != nil {
		return out, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return out, err
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return out, trace.BadParameter("HTTP status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	return out, err
}
