package eelctl

import (
	"encoding/json"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/losses"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// lossesCommand returns the command that accounts for the requests in collected logs. It needs
// no server.
func (a *app) lossesCommand() *cobra.Command {
	var interval time.Duration
	cmd := &cobra.Command{
		Use:   "losses [LOG-FILE...]",
		Short: "Count from the logs of all VMs who waited, who was refused and which prompts were read again",
		Long: "Count from the logs of all entry VMs, by time: requests that waited, were refused or failed, and shared prompt tokens\n" +
			"that were sent to be computed again, with the reason. The logs are as for explain.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if interval <= 0 {
				return errkind.New(errkind.InvalidRequest, "--interval must be positive")
			}
			lines, err := a.logLines(cmd, args)
			if err != nil {
				return err
			}
			rows := losses.Account(lines, interval)
			if a.output == "json" {
				return errors.Wrap(json.NewEncoder(a.out).Encode(rows), "write account")
			}
			return losses.Print(a.out, rows)
		},
	}
	cmd.Flags().DurationVar(&interval, "interval", 2*time.Second, "length of a row")
	return cmd
}
