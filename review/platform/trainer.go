package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Item is an item of a submission.
type Item struct {
	ID    string
	Group string
	// Reward is the id of the reward call, and RewardPath its path.
	Reward, RewardPath string
}

// Submission is what a trainer submits.
type Submission struct {
	ID         string
	Host, Path string
	Step       int64
	Model      string
	MinVersion int64
	Target     int
	Items      []Item
}

// Body returns the body of the call.
func (s Submission) Body() string {
	items := make([]map[string]any, 0, len(s.Items))
	for _, i := range s.Items {
		item := map[string]any{
			"id": i.ID, "path": s.Path + "/" + i.ID, "body": []byte("prompt of " + i.ID), "tokens": 571, "group": i.Group,
			"headers": map[string]string{"X-Model": s.Model, "X-Token-Count": "271,300", "X-Prompt-Prefix": "9c2e41:255,5d07b8:16"},
		}
		if i.Reward != "" {
			item["scorer_url"] = map[string]any{"id": i.Reward, "host": s.Host, "path": i.RewardPath, "body": []byte("reward of " + i.ID)}
		}
		items = append(items, item)
	}
	encoded, _ := json.Marshal(map[string]any{ // plain values only
		"step": s.Step, "model": s.Model, "min_version": s.MinVersion, "target_groups": s.Target, "items": items,
	})
	return string(encoded)
}

// Result is one result as read.
type Result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Output   string  `json:"output"`
	Versions []int64 `json:"versions"`
	Score    string  `json:"score"`
}

// Page is a page of results.
type Page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []Result `json:"results"`
}

// callTimeout bounds one call of a trainer.
const callTimeout = 3 * time.Second

// Submit submits until a node accepts, each time at another node, and returns the status of
// the last attempt.
func (c *Client) Submit(fronts []string, s Submission, record *Record) int {
	status := 0
	for k := range 20 {
		outcome := c.Send(http.MethodPost, fronts[k%len(fronts)], s.Host, s.Path, s.ID, s.Body(), callTimeout)
		record.Line("submission %s to %s: status %d, %v", s.ID, fronts[k%len(fronts)], outcome.Status, outcome.Err)
		if status = outcome.Status; status == http.StatusAccepted {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}

// Read reads one page of results.
func (c *Client) Read(front, host, id string, after int) (Page, Outcome) {
	outcome := c.SendWith(http.MethodGet, front, host, fmt.Sprintf("/lots/%s?after=%d", id, after), "read-"+id, "", callTimeout,
		map[string]string{"X-Wait-Ms": "1000"})
	var page Page
	if outcome.Status == http.StatusOK {
		if err := json.Unmarshal([]byte(outcome.Body), &page); err != nil {
			outcome.Err = err
		}
	}
	return page, outcome
}

// End ends a submission, each attempt at another node, and reports whether a node confirmed
// it.
func (c *Client) End(fronts []string, host, id string) bool {
	for k := range 20 {
		if c.Send(http.MethodDelete, fronts[k%len(fronts)], host, "/lots/"+id, "end-"+id, "", callTimeout).Status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
