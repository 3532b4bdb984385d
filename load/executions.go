package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

const (
	// notAsked stands in Record.Executions when an executor's records are missing.
	notAsked          = -1
	pathExecutions    = "/executions"
	executionsTimeout = 10 * time.Second
)

// executions is the part of a stand-in's record that is joined.
type executions struct {
	ByTag map[string]int `json:"by_tag"`
}

// join writes into each record how often its request ran. When an executor
// cannot be asked the records keep -1 and the error says so.
func (o Options) join(ctx context.Context, c *http.Client, records []Record) error {
	if len(o.Engines) == 0 {
		return nil
	}
	total := make(map[string]int)
	for _, url := range o.Engines {
		one, err := fetchExecutions(ctx, c, url)
		if err != nil {
			return trace.Wrap(err, "executions of %s", url)
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
		return out, trace.BadParameter("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	return out, err
}
