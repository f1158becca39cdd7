package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/standin/list"
)

const (
	renewInterval       = time.Second
	registrationTimeout = 2 * time.Second
)

// registration keeps an endpoint on the instance list.
type registration struct {
	listControl string
	instance    keyvalue.Instance
}

func (r *registration) flags(sub *flaggy.Subcommand) {
	sub.String(&r.listControl, "", "list-control", "host:port of the control interface of the instance list; none if empty")
	sub.String(&r.instance.ID, "", "id", "identifier on the instance list")
	sub.String(&r.instance.FailureDomain, "", "failure-domain", "failure domain")
	sub.String(&r.instance.Region, "", "region", "region")
}

// announce registers the instance at the address and renews the registration until
// ctx ends. Then it removes the instance from the list.
func (r *registration) announce(ctx context.Context, address string) error {
	if r.listControl == "" {
		return nil
	}
	r.instance.Address = address
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		// The next renewal compensates for a failed one.
		_ = r.post(ctx, "/register", r.instance)
		select {
		case <-ctx.Done():
			return r.deregister()
		case <-ticker.C:
		}
	}
}

func (r *registration) deregister() error {
	ctx, cancel := context.WithTimeout(context.Background(), registrationTimeout)
	defer cancel()
	// Errors are ignored, since the list may have stopped already.
	_ = r.post(ctx, "/deregister", list.Reference{ID: r.instance.ID})
	return nil
}

func (r *registration) post(ctx context.Context, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.listControl+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: registrationTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("instance list answered %d", resp.StatusCode)
	}
	return nil
}
