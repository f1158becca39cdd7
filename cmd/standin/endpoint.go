package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/integrii/flaggy"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/standin/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/service"
	"github.com/comfreyfront/comfreyfront/internal/standin/weightstore"
)

// crashExitCode is the exit code of an endpoint that crashes on a request.
const crashExitCode = 134

func crash() {
	os.Exit(crashExitCode)
}

func engineCommand() command {
	var l listenAddresses
	var r registration
	var store string
	options := engine.Options{OnCrash: crash}
	sub := newSubcommand("engine", "a model engine", &l)
	r.flags(sub)
	engineFlags(sub, &options)
	sub.String(&store, "", "weight-store", "host:port of the weight store; none if empty")
	return command{sub: sub, run: func(ctx context.Context) error {
		if store != "" {
			options.FetchWeights = fetchFrom(store)
		}
		server, err := engine.New(options)
		if err != nil {
			return err
		}
		defer server.Close()
		r.instance.Kind, r.instance.Serves, r.instance.ChecksFence = keyvalue.KindEngine, options.Model, options.ChecksFence
		return l.serve(ctx, standin{
			handler:  server.Handler(),
			control:  server.Control(),
			announce: r.announce,
			leave:    func() { server.SetLeaving(true) },
		})
	}}
}

func engineFlags(sub *flaggy.Subcommand, o *engine.Options) {
	sub.String(&o.Model, "", "model", "name of the served model")
	sub.Int(&o.Slots, "", "slots", "number of sequences that run concurrently")
	sub.Duration(&o.StepBase, "", "step-base", "base time of a step")
	sub.Duration(&o.StepPerSequence, "", "step-per-sequence", "time that each running sequence adds to a step")
	sub.Duration(&o.PrefillPerChar, "", "prefill-per-char", "time that each uncached character of a prompt adds")
	sub.Int(&o.CacheBlocks, "", "cache-blocks", "size of the prefix cache in blocks of 32 characters")
	sub.Duration(&o.ReportLag, "", "report-lag", "age of load reports")
	sub.Bool(&o.ChecksFence, "", "checks-fence", "reject orders with an old fencing number")
	sub.Int64(&o.Version, "", "version", "weight version at the start")
	sub.Duration(&o.StageTime, "", "stage-time", "time to stage a version")
	sub.Duration(&o.ActivateTime, "", "activate-time", "time to activate a version")
	sub.Float64(&o.TimeScale, "", "time-scale", "multiplies all times; smaller is faster")
	sub.String(&o.JournalFile, "", "journal-file", "file for the journal, as JSON lines")
}

// fetchFrom returns a function that downloads a version from the weight store.
func fetchFrom(address string) func(context.Context, int64) error {
	return func(ctx context.Context, version int64) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+weightstore.Path(version), nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("weight store answered %d", resp.StatusCode)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
}

func serviceCommand() command {
	var l listenAddresses
	var r registration
	options := service.Options{OnCrash: crash}
	sub := newSubcommand("service", "a plain service", &l)
	r.flags(sub)
	sub.String(&r.instance.Serves, "", "application", "name of the served application")
	sub.Duration(&options.Delay, "", "delay", "duration of a call")
	sub.Int(&options.Slots, "", "slots", "number of calls that run concurrently; 0 sets no limit")
	sub.Duration(&options.ReportLag, "", "report-lag", "age of load reports")
	sub.String(&options.JournalFile, "", "journal-file", "file for the journal, as JSON lines")
	return command{sub: sub, run: func(ctx context.Context) error {
		server, err := service.New(options)
		if err != nil {
			return err
		}
		r.instance.Kind = keyvalue.KindService
		return l.serve(ctx, standin{
			handler:  server.Handler(),
			control:  server.Control(),
			announce: r.announce,
			leave:    func() { server.SetLeaving(true) },
		})
	}}
}
