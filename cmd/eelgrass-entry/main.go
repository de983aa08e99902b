// Command eelgrass-entry serves callers on an entry VM.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"eelgrasshollow/internal/entryd"
	"eelgrasshollow/internal/settings"

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
	var config string
	root := &cobra.Command{
		Use: "eelgrass-entry", Short: "Serve callers on an entry VM", SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s entryd.Settings
			if err := settings.Load(config, &s); err != nil {
				return err
			}
			return entryd.Run(cmd.Context(), s)
		},
	}
	root.Flags().StringVar(&config, "config", "", "settings file")
	root.AddCommand(&cobra.Command{
		Use: "reference", Short: "Print every setting", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return settings.Reference(cmd.OutOrStdout(), "eelgrass-entry", entryd.Settings{})
		},
	})
	return root
}
