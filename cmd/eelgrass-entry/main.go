// Command eelgrass-entry serves client requests on an entry VM.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"eelgrasshollow/internal/entryd"
	"eelgrasshollow/internal/onplatform"
	"eelgrasshollow/internal/settings"
	"eelgrasshollow/platform"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var config, metricsPort string
	root := &cobra.Command{
		Use: "eelgrass-entry", Short: "Serve client requests on an entry VM", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path, ok := platform.SettingsPath(); ok {
				return onplatform.RunEntry(cmd.Context(), path, metricsPort)
			}
			var s entryd.Settings
			if err := settings.Load(config, &s); err != nil {
				return err
			}
			return entryd.Run(cmd.Context(), s)
		},
	}
	root.Flags().StringVar(&config, "config", "", "settings file")
	root.Flags().StringVar(&metricsPort, "metrics-port", "", "port of the metrics listener when running on the platform")
	root.AddCommand(&cobra.Command{
		Use: "reference", Short: "Print the reference of all settings", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return settings.Reference(cmd.OutOrStdout(), "eelgrass-entry", entryd.Settings{})
		},
	})
	return root
}
