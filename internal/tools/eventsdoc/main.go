// Command eventsdoc prints the contents of docs/EVENTS.md, the list of all log
// events.
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
