// Command eelctl is the operators' command-line client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"eelgrasshollow/internal/eelctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := eelctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
