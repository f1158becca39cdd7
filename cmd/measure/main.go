// Command measure runs the naive and the adaptive policy on the same workloads,
// prints their figures and writes them to an HTML page.
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/comfreyfront/comfreyfront/internal/measure"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run() error {
	only, seeds, page, atOnce := "", "1,2,3", "out/measure.html", 2
	flaggy.SetName("measure")
	flaggy.SetDescription("Compares the naive and the adaptive policy on the same workloads.")
	flaggy.String(&only, "o", "only", "workloads to run, separated by commas; all if empty")
	flaggy.String(&seeds, "s", "seeds", "seeds, separated by commas")
	flaggy.String(&page, "p", "page", "file to write the page to; none if empty")
	flaggy.Int(&atOnce, "n", "at-once", "number of concurrent runs")
	flaggy.Parse()
	numbers, err := parseSeeds(seeds)
	if err != nil {
		return err
	}
	started := time.Now()
	figures, err := measure.Run(context.Background(), selectWorkloads(only), numbers, atOnce)
	if err != nil {
		return err
	}
	measure.Print(os.Stdout, figures)
	spreads := measure.Spreads(figures)
	measure.PrintSpreads(os.Stdout, spreads)
	fmt.Printf("took %.0f s\n", time.Since(started).Seconds())
	if page == "" {
		return nil
	}
	return measure.WritePage(page, spreads)
}

func parseSeeds(list string) ([]uint64, error) {
	var seeds []uint64
	for _, text := range strings.Split(list, ",") {
		seed, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seed %q: %w", text, err)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// selectWorkloads returns the workloads named in a comma-separated list, or all
// workloads if it is empty.
func selectWorkloads(only string) []measure.Workload {
	workloads := measure.Workloads()
	if only == "" {
		return workloads
	}
	var selected []measure.Workload
	for _, w := range workloads {
		for _, name := range strings.Split(only, ",") {
			if w.Name == strings.TrimSpace(name) {
				selected = append(selected, w)
			}
		}
	}
	return selected
}
