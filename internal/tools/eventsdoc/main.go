// Command eventsdoc prints the catalogue of log events for docs/EVENTS.md.
package main

import (
	"os"

	"github.com/comfreyfront/comfreyfront/internal/event"
)

func main() {
	if _, err := os.Stdout.WriteString(event.Markdown()); err != nil {
		os.Exit(1)
	}
}
