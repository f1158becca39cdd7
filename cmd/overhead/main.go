// Command overhead measures the latency that an entry adds to a call, by pairing
// calls through the entry with direct calls to the same endpoint in one run. It
// also measures the calls per second that one entry serves on one core.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreyfront/comfreyfront/internal/config"
	"github.com/comfreyfront/comfreyfront/internal/operator"
	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/internal/request"
)

// Parameters of the measurement.
const (
	warmUp        = 500
	pairs         = 4000
	loadCallers   = 64
	loadDuration  = 5 * time.Second
	settleTimeout = 10 * time.Second
	highestMicros = 10_000_000
	digits        = 3
)

const application = "register"

const classes = `classes:
- name: lookup
  lateness: 5s
  freshness: none
  completeness: 99%
`

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

func run() error {
	return proctest.RunTemporary(proctest.TemporaryOptions{Log: io.Discard}, func(cluster *proctest.Cluster, _ string) error {
		return measure(cluster)
	})
}

func measure(cluster *proctest.Cluster) error {
	endpoint, err := cluster.StartService("service", "larissa", application)
	if err != nil {
		return err
	}
	if err := os.Setenv("GOMAXPROCS", "1"); err != nil { // applies to the entry, which starts next
		return err
	}
	entry, err := cluster.StartEntry("entry", "larissa", "--log-level", "ERROR")
	if err != nil {
		return err
	}
	client := operator.NewClient(entry.InternalAddress(), &http.Client{Timeout: settleTimeout})
	change := operator.Change{ID: "overhead", Who: "overhead", Expect: config.AnyRevision, Classes: classes}
	if _, err := client.Apply(context.Background(), change); err != nil {
		return err
	}
	direct := "http://" + endpoint.Addresses[0] + "/wells/1"
	through := "http://" + entry.CallerAddress() + "/services/" + application + "/wells/1"
	if err := awaitAnswer(through); err != nil {
		return err
	}
	if err := measurePairs(direct, through); err != nil {
		return err
	}
	return measureLoad(through)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadCallers}}
}

func get(client *http.Client, url string) error {
	call, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	call.Header.Set(request.HeaderClass, "lookup")
	answer, err := client.Do(call)
	if err != nil {
		return err
	}
	_ = answer.Body.Close()
	if answer.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("%s answered %d", url, answer.StatusCode)
	}
	return nil
}

func awaitAnswer(url string) error {
	client := newClient()
	var err error
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = get(client, url); err == nil {
			return nil
		}
	}
	return err
}

// measurePairs measures the latency of alternating direct calls and calls through
// the entry.
func measurePairs(direct, through string) error {
	client := newClient()
	histograms := map[string]*hdrhistogram.Histogram{
		direct:  hdrhistogram.New(1, highestMicros, digits),
		through: hdrhistogram.New(1, highestMicros, digits),
	}
	for i := range warmUp + pairs {
		for url, histogram := range histograms {
			started := time.Now()
			if err := get(client, url); err != nil {
				return err
			}
			if i >= warmUp {
				_ = histogram.RecordValue(time.Since(started).Microseconds())
			}
		}
	}
	for _, quantile := range []float64{50, 99} {
		d, t := histograms[direct].ValueAtQuantile(quantile), histograms[through].ValueAtQuantile(quantile)
		fmt.Printf("measure added_latency_p%.0f unit=us direct=%d through=%d added=%d pairs=%d\n", quantile, d, t, t-d, pairs)
	}
	return nil
}

// measureLoad measures the rate of calls that the entry serves on one core.
func measureLoad(through string) error {
	var answered, failed atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(loadDuration)
	client := newClient()
	for range loadCallers {
		group.Go(func() {
			for time.Now().Before(end) {
				if get(client, through) != nil {
					failed.Add(1)
					continue
				}
				answered.Add(1)
			}
		})
	}
	group.Wait()
	rate := float64(answered.Load()) / loadDuration.Seconds()
	fmt.Printf("measure entry_rate unit=calls/s gomaxprocs=1 value=%.0f failed=%d callers=%d\n", rate, failed.Load(), loadCallers)
	return nil
}
