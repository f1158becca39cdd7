package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// reply is what a client got; a status of zero means that the channel was closed without a
// complete answer.
type reply struct {
	status int
	stamp  string
	body   []byte
	err    error
}

// newChannel is a client that opens a new channel for each request.
var newChannel = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends one request of a client to a node and waits for its whole answer.
func send(n *node, method, path, id string, deadline time.Duration, header map[string]string, body []byte) reply {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+1500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := newChannel.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{err: err}
	}
	return reply{status: response.StatusCode, stamp: response.Header.Get("X-Response-Stamp"), body: content}
}

// item is one item of a batch submission.
type item struct {
	id, group, reward string
}

// submission returns the body of a batch submission.
func submission(step, minVersion, targetGroups int, items []item) []byte {
	list := make([]object, 0, len(items))
	for _, i := range items {
		list = append(list, object{
			"id": i.id, "path": "/rollout/" + i.id, "body": base64.StdEncoding.EncodeToString([]byte(i.id)), "tokens": 400, "group": i.group,
			"headers":    object{"X-Model": modelName, "X-Token-Count": "200,200", "X-Prompt-Prefix": "9c2e41:200"},
			"scorer_url": object{"id": i.reward, "host": host, "path": "/reward/x", "body": base64.StdEncoding.EncodeToString([]byte(i.reward))},
		})
	}
	encoded, err := json.Marshal(object{"step": step, "model": modelName, "min_version": minVersion, "target_groups": targetGroups, "items": list})
	if err != nil {
		panic(err) // cannot happen: the values are plain
	}
	return encoded
}

// submit hands a batch submission in until it is accepted.
func (w *world) submit(id string, body []byte) error {
	for attempt := range 10 {
		n := w.nodes[attempt%len(w.nodes)]
		got := send(n, http.MethodPost, "/rollout/"+id, id, 4*time.Second, nil, body)
		w.note("submission %s at %s: status %d", id, n.name, got.status)
		if got.status == http.StatusAccepted {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("submission %s was not accepted", id)
}

// result is one result of a batch submission.
type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Output   string  `json:"output"`
	Versions []int64 `json:"versions"`
	Score    string  `json:"score"`
}

// results reads a batch submission from its start until it has the given number of results or
// the time is over.
func (w *world) results(id string, count int, limit time.Duration) ([]result, error) {
	var all []result
	for deadline := time.Now().Add(limit); len(all) < count && time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		got := send(w.nodes[len(all)%len(w.nodes)], http.MethodGet, "/lots/"+id+"?after="+strconv.Itoa(len(all)), id+"-read", time.Second, nil, nil)
		if got.status != http.StatusOK {
			continue
		}
		var page struct {
			Results []result `json:"results"`
		}
		if err := json.Unmarshal(got.body, &page); err != nil {
			return nil, err
		}
		for _, r := range page.Results {
			w.note("submission %s lists %s: %s, %d versions, score %q", id, r.ID, r.State, len(r.Versions), r.Score)
		}
		all = append(all, page.Results...)
	}
	return all, nil
}

// end ends a batch submission.
func (w *world) end(id string) error {
	for attempt := range 10 {
		got := send(w.nodes[attempt%len(w.nodes)], http.MethodDelete, "/lots/"+id, id+"-end", 2*time.Second, nil, nil)
		w.note("end of submission %s: status %d", id, got.status)
		if got.status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("submission %s was not ended", id)
}
