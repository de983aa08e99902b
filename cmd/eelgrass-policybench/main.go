// Command eelgrass-policybench simulates the routing policy and its baselines in virtual time
// and prints a table that compares them.
package main

import (
	"os"

	"eelgrasshollow/internal/policybench"

	"github.com/spf13/cobra"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	config := policybench.DefaultConfig()
	var plots string
	var quick, overload, uneven, newWeights bool
	var seeds []uint
	cmd := &cobra.Command{
		Use:          "eelgrass-policybench",
		Short:        "Compare the routing policy with baselines in virtual time",
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(seeds) > 0 {
				config.Seeds = toUint64(seeds)
			}
			if quick {
				config.Scenarios, config.Seeds = config.Scenarios[:1], config.Seeds[:1]
			}
			if overload {
				rows := policybench.RunOverloadTable(policybench.DefaultOverloadConfig(), policybench.OverloadPolicies(), policybench.OverloadLoads, config.Seeds, config.MaxParallel)
				policybench.WriteOverloadTable(cmd.OutOrStdout(), rows)
				return nil
			}
			if uneven {
				base := policybench.DefaultUnevenConfig()
				base.Uneven.NewWeights = newWeights
				rows := policybench.RunOverloadTable(base, policybench.UnevenPolicies(), policybench.UnevenLoads, config.Seeds, config.MaxParallel)
				policybench.WriteUnevenTable(cmd.OutOrStdout(), rows)
				return nil
			}
			rows, err := policybench.RunTable(config)
			if err != nil {
				return err
			}
			policybench.WriteTable(cmd.OutOrStdout(), rows)
			if plots == "" {
				return nil
			}
			return policybench.Plot(plots, rows)
		},
	}
	cmd.Flags().StringVar(&plots, "plots", "", "directory for the plots")
	cmd.Flags().BoolVar(&quick, "quick", false, "run one seed without faults")
	cmd.Flags().BoolVar(&overload, "overload", false, "compare the policies under overload instead")
	cmd.Flags().BoolVar(&uneven, "uneven", false, "compare the policies in front of engines of different speeds instead")
	cmd.Flags().BoolVar(&newWeights, "new-weights", false, "with --uneven, empty the caches every 3 s")
	cmd.Flags().IntVar(&config.MaxParallel, "parallel", config.MaxParallel, "number of concurrent runs")
	cmd.Flags().UintSliceVar(&seeds, "seeds", nil, "seeds of the runs (default 1,2,3)")
	return cmd
}

func toUint64(seeds []uint) []uint64 {
	out := make([]uint64, len(seeds))
	for i, s := range seeds {
		out[i] = uint64(s)
	}
	return out
}
