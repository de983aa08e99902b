// Command eelgrass-load puts load on a fleet, judges what comes back and reports it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"eelgrasshollow/internal/load"
	"eelgrasshollow/internal/settings"
)

var errBroken = errors.New("an oracle found a broken promise")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var config, jsonPath, htmlPath string
	root := &cobra.Command{Use: "eelgrass-load", Short: "Put load on a fleet, judge the answers and report", SilenceUsage: true,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd, config, jsonPath, htmlPath) }}
	root.Flags().StringVar(&config, "config", "", "settings file")
	root.Flags().StringVar(&jsonPath, "json", "", "write the report as JSON")
	root.Flags().StringVar(&htmlPath, "html", "", "write the report as a page with plots")
	root.AddCommand(compare(), call())
	return root
}

func run(cmd *cobra.Command, config, jsonPath, htmlPath string) error {
	var s load.Settings
	if err := settings.Load(config, &s); err != nil {
		return err
	}
	accounts, err := load.LoadAccounts(s.Target.AccountsFile)
	if err != nil {
		return err
	}
	trace, err := load.Execute(cmd.Context(), s, accounts, os.Stderr)
	if err != nil {
		return err
	}
	report := load.NewReport(trace, load.Judge(context.WithoutCancel(cmd.Context()), trace))
	if err := write(report, jsonPath, htmlPath); err != nil {
		return err
	}
	if err := report.Print(cmd.OutOrStdout()); err != nil {
		return err
	}
	if report.Broken() {
		return errBroken
	}
	return nil
}

func write(r *load.Report, jsonPath, htmlPath string) error {
	if jsonPath != "" {
		if err := r.WriteJSON(jsonPath); err != nil {
			return err
		}
	}
	if htmlPath != "" {
		return r.WriteHTML(htmlPath)
	}
	return nil
}

func compare() *cobra.Command {
	return &cobra.Command{Use: "compare BEFORE.json AFTER.json", Short: "Print two reports side by side", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			before, err := load.ReadReport(args[0])
			if err != nil {
				return err
			}
			after, err := load.ReadReport(args[1])
			if err != nil {
				return err
			}
			return load.Compare(cmd.OutOrStdout(), before, after)
		}}
}

func call() *cobra.Command {
	var c load.OneCall
	cmd := &cobra.Command{Use: "call", Short: "Send one request and show what came back", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			answer, err := c.Do(cmd.Context())
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "status: %d\noutcome: %s\nrequest: %s\n%s\n", answer.Status, answer.Outcome, answer.RequestID, answer.Body)
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&c.Entry, "entry", "", "entry address")
	f.StringVar(&c.Method, "method", "POST", "HTTP method")
	f.StringVar(&c.Path, "path", "/v1/chat/completions", "path")
	f.StringVar(&c.Key, "key", "", "the caller's key; none on a route open to all")
	f.StringVar(&c.IdempotencyKey, "idempotency-key", "", "request ID of a non-idempotent call")
	f.StringVar(&c.RequestID, "request-id", "", "request ID for logs")
	f.StringVar(&c.Body, "body", "", "body; @FILE reads a file")
	f.DurationVar(&c.Timeout, "timeout", load.DefaultTimeout, "how long to wait")
	return cmd
}
