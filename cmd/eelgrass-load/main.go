// Command eelgrass-load generates load on a fleet, checks the responses against oracles and
// writes a report.
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

// errViolation makes the exit status of a run 1 if any oracle found a violation.
var errViolation = errors.New("an oracle found a violated guarantee")

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
	root := &cobra.Command{Use: "eelgrass-load", Short: "Generate load on a fleet, check the responses and write a report", SilenceUsage: true,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd, config, jsonPath, htmlPath) }}
	root.Flags().StringVar(&config, "config", "", "settings file")
	root.Flags().StringVar(&jsonPath, "json", "", "write the report as JSON")
	root.Flags().StringVar(&htmlPath, "html", "", "write the report as a page with plots")
	root.AddCommand(compareCommand(), callCommand())
	return root
}

// run runs the load, writes the report and prints it.
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
	if err := writeReport(report, jsonPath, htmlPath); err != nil {
		return err
	}
	if err := report.Print(cmd.OutOrStdout()); err != nil {
		return err
	}
	if report.HasViolations() {
		return errViolation
	}
	return nil
}

func writeReport(r *load.Report, jsonPath, htmlPath string) error {
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

func compareCommand() *cobra.Command {
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

func callCommand() *cobra.Command {
	var request load.SingleRequest
	cmd := &cobra.Command{Use: "call", Short: "Send one request and show the response", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			answer, err := request.Do(cmd.Context())
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "status: %d\noutcome: %s\nrequest: %s\n%s\n", answer.Status, answer.Outcome, answer.RequestID, answer.Body)
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&request.Entry, "entry", "", "entry address")
	f.StringVar(&request.Method, "method", "POST", "HTTP method")
	f.StringVar(&request.Path, "path", "/v1/chat/completions", "path")
	f.StringVar(&request.Key, "key", "", "API key; not needed on an open route")
	f.StringVar(&request.IdempotencyKey, "idempotency-key", "", "request ID of a non-idempotent call")
	f.StringVar(&request.RequestID, "request-id", "", "request ID for the logs")
	f.StringVar(&request.Body, "body", "", "request body; @FILE reads it from a file")
	f.DurationVar(&request.Timeout, "timeout", load.DefaultTimeout, "time limit of the request")
	return cmd
}
