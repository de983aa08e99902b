// Command eelgrass-policybench prints the table of the routing policy against its
// baselines.
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
	c := policybench.DefaultConfig()
	var plots string
	var quick bool
	var seeds []uint
	cmd := &cobra.Command{
		Use:          "eelgrass-policybench",
		Short:        "Measure the routing policy against baselines in virtual time",
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(seeds) > 0 {
				c.Seeds = wide(seeds)
			}
			if quick {
				c.Scenarios, c.Seeds = c.Scenarios[:1], c.Seeds[:1]
			}
			rows, err := policybench.Table(c)
			if err != nil {
				return err
			}
			policybench.Print(cmd.OutOrStdout(), rows)
			if plots == "" {
				return nil
			}
			return policybench.Plot(plots, rows)
		},
	}
	cmd.Flags().StringVar(&plots, "plots", "", "directory for the plots")
	cmd.Flags().BoolVar(&quick, "quick", false, "one seed, no faults")
	cmd.Flags().IntVar(&c.Parallel, "parallel", c.Parallel, "runs at a time")
	cmd.Flags().UintSliceVar(&seeds, "seeds", nil, "seeds of the runs (default 1,2,3)")
	return cmd
}

func wide(seeds []uint) []uint64 {
	out := make([]uint64, len(seeds))
	for i, s := range seeds {
		out[i] = uint64(s)
	}
	return out
}
