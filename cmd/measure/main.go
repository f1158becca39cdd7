// Command measure runs the naive and the adaptive policy on the same work and
// prints their figures; it also writes them as a page.
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
	flaggy.SetDescription("Compares the naive and the adaptive policy on the same work.")
	flaggy.String(&only, "o", "only", "workloads to run, with commas; empty is all")
	flaggy.String(&seeds, "s", "seeds", "seeds, with commas")
	flaggy.String(&page, "p", "page", "file to write the page to; empty is none")
	flaggy.Int(&atOnce, "n", "at-once", "runs at the same time")
	flaggy.Parse()
	numbers, err := parseSeeds(seeds)
	if err != nil {
		return err
	}
	started := time.Now()
	figures, err := measure.Run(context.Background(), choose(only), numbers, atOnce)
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

func choose(only string) []measure.Workload {
	all := measure.Workloads()
	if only == "" {
		return all
	}
	var chosen []measure.Workload
	for _, w := range all {
		for _, name := range strings.Split(only, ",") {
			if w.Name == strings.TrimSpace(name) {
				chosen = append(chosen, w)
			}
		}
	}
	return chosen
}
