// Command comfreyfront runs the processes of the rollout service and the
// operator's commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/comfreyfront/comfreyfront/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
