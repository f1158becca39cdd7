package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/comfreyfront/comfreyfront/internal/standin/balancer"
	"github.com/comfreyfront/comfreyfront/internal/standin/kv"
	"github.com/comfreyfront/comfreyfront/internal/standin/list"
	"github.com/comfreyfront/comfreyfront/internal/standin/weightstore"
)

func newSubcommand(name, description string, l *listenAddresses) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	l.flags(sub)
	return sub
}

func kvCommand() command {
	var l listenAddresses
	var options kv.Options
	sub := newSubcommand("kv", "the platform's key-value service", &l)
	sub.Int(&options.History, "", "history", "number of changes stored for watches")
	return command{sub: sub, run: func(ctx context.Context) error {
		server := kv.New(options)
		return l.serve(ctx, standin{handler: server.Handler(), control: server.Control(), cancelCalls: true})
	}}
}

func listCommand() command {
	var l listenAddresses
	var options list.Options
	sub := newSubcommand("list", "the platform's instance list", &l)
	sub.Duration(&options.Lag, "", "lag", "time until a change is visible")
	sub.Duration(&options.TTL, "", "ttl", "time after which an instance that is not renewed is removed; 0 means never")
	return command{sub: sub, run: func(ctx context.Context) error {
		server := list.New(options)
		return l.serve(ctx, standin{handler: server.Handler(), control: server.Control(), cancelCalls: true})
	}}
}

func balancerCommand() command {
	var l listenAddresses
	var options balancer.Options
	var backends []string
	sub := newSubcommand("balancer", "the platform's balancer", &l)
	sub.StringSlice(&backends, "", "backend", "ADDRESS=READY of an entry; may be repeated")
	sub.Duration(&options.CheckInterval, "", "check-interval", "time between readiness checks")
	return command{sub: sub, run: func(ctx context.Context) error {
		for _, backend := range backends {
			address, ready, ok := strings.Cut(backend, "=")
			if !ok {
				return fmt.Errorf("backend %q is not ADDRESS=READY", backend)
			}
			options.Backends = append(options.Backends, balancer.Backend{Address: address, Ready: ready})
		}
		server := balancer.New(options)
		defer server.Close()
		return l.serve(ctx, standin{handler: server.Handler(), control: server.Control()})
	}}
}

func weightStoreCommand() command {
	var l listenAddresses
	var options weightstore.Options
	sub := newSubcommand("weight-store", "the rate-limited weight store", &l)
	sub.Float64(&options.BytesPerSecond, "", "rate", "bytes per second for all readers together; 0 sets no limit")
	sub.Int64(&options.Size, "", "size", "size of one version, in bytes")
	return command{sub: sub, run: func(ctx context.Context) error {
		return l.serve(ctx, standin{handler: weightstore.New(options).Handler(), control: http.NotFoundHandler()})
	}}
}
