// Command eelgrass-control runs one replica of the control state.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"eelgrasshollow/internal/controld"
	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/onplatform"
	"eelgrasshollow/internal/settings"
	"eelgrasshollow/platform"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "eelgrass-control:", err)
		stop()
		os.Exit(errkind.Of(err).Kind.Properties().Exit)
	}
}

func command() *cobra.Command {
	var config, metricsPort, operatorTokens string
	cmd := &cobra.Command{
		Use:           "eelgrass-control",
		Short:         "Run a control replica",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path, ok := platform.SettingsPath(); ok {
				return onplatform.RunControl(cmd.Context(), path, metricsPort, operatorTokens)
			}
			if config == "" {
				return errkind.New(errkind.InvalidRequest, "required flag \"config\" not set")
			}
			var s controld.Settings
			if err := settings.Load(config, &s); err != nil {
				return err
			}
			return controld.Run(cmd.Context(), &s)
		},
	}
	cmd.Flags().StringVar(&config, "config", "", "settings file")
	cmd.Flags().StringVar(&metricsPort, "metrics-port", "", "port of the metrics listener when running on the platform")
	cmd.Flags().StringVar(&operatorTokens, "operator-tokens", "", "file with operators' tokens for eelctl when running on the platform")
	return cmd
}
