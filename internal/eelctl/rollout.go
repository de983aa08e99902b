package eelctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"

	"github.com/spf13/cobra"
)

// columnGap is the number of spaces between two columns of a table.
const columnGap = 2

// rolloutCommand returns the commands for rollouts of releases.
func (a *app) rolloutCommand() *cobra.Command {
	return group("rollout", "Move a service's traffic to servers of another release", a.rolloutStartCommand(),
		newCommand("show SERVICE", "Show the latest rollout of a service", 1, func(cmd *cobra.Command, args []string) error {
			c, err := a.connect()
			if err != nil {
				return err
			}
			r, err := call(cmd.Context(), c, &pb.GetRolloutRequest{Service: args[0]}, operatorClient.GetRollout)
			if err != nil {
				return err
			}
			return a.print(r.GetRollout(), func(w io.Writer) { writeRollout(w, r.GetRollout()) })
		}),
		newCommand("history SERVICE", "List the recent rollouts of a service, newest first", 1, func(cmd *cobra.Command, args []string) error {
			c, err := a.connect()
			if err != nil {
				return err
			}
			r, err := call(cmd.Context(), c, &pb.ListRolloutsRequest{Service: args[0]}, operatorClient.ListRollouts)
			if err != nil {
				return err
			}
			return a.print(r, func(w io.Writer) { writeRollouts(w, r.GetRollouts()) })
		}))
}

func (a *app) rolloutStartCommand() *cobra.Command {
	var duration time.Duration
	cmd := newCommand("start SERVICE RELEASE", "Order a rollout; the same order sent again is acknowledged", 2, func(cmd *cobra.Command, args []string) error {
		if duration < time.Millisecond || duration%time.Millisecond != 0 {
			return errkind.New(errkind.InvalidRequest, "--duration must be a positive number of whole milliseconds, not %v", duration)
		}
		c, err := a.connect()
		if err != nil {
			return err
		}
		order := &pb.StartRolloutRequest{Service: args[0], Release: args[1], DurationMs: duration.Milliseconds()}
		r, err := call(cmd.Context(), c, order, operatorClient.StartRollout)
		if err != nil {
			return err
		}
		return a.print(r, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "rollout of %s to %s ordered, duration %v\n", args[0], args[1], duration)
		})
	})
	cmd.Flags().DurationVar(&duration, "duration", 0, "time from the order to the deadline, such as 10m")
	_ = cmd.MarkFlagRequired("duration") // fails only for a flag that doesn't exist
	return cmd
}

// writeRollout writes one rollout with the shares of the new release.
func writeRollout(w io.Writer, r *pb.Rollout) {
	writeRollouts(w, []*pb.Rollout{r})
	_, _ = fmt.Fprintf(w, "new release gets %s\n", rolloutShares(r))
}

// rolloutShares describes which share of the requests goes to the new release.
func rolloutShares(r *pb.Rollout) string {
	var parts []string
	for _, route := range slices.Sorted(maps.Keys(r.GetRouteShares())) {
		parts = append(parts, fmt.Sprintf("%.2f%% of route %s", 100*r.GetRouteShares()[route], route))
	}
	others := "all routes"
	if len(parts) > 0 {
		others = "other routes"
	}
	return strings.Join(append(parts, fmt.Sprintf("%.2f%% of %s", 100*r.GetDefaultShare(), others)), ", ")
}

// writeRollouts writes a table of rollouts.
func writeRollouts(w io.Writer, all []*pb.Rollout) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(t, "NUMBER\tRELEASE\tORDERED\tDURATION\tPHASE\tSTAGE\tREASON")
	for _, r := range all {
		at := time.UnixMilli(r.GetOrderedUnixMs()).UTC().Format(time.RFC3339)
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%v\t%s\t%d\t%s\n", r.GetNumber(), r.GetRelease(), at,
			time.Duration(r.GetDurationMs())*time.Millisecond, r.GetPhase(), r.GetStage(), r.GetReason())
	}
	_ = t.Flush() // as for the other output, a failed write to standard output is not reported
}
