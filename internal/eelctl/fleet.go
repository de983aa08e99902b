package eelctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
)

// backupFileMode lets only the owner read a backup, because it holds the hashes of the keys.
const backupFileMode = 0o600

// waitMargin is added to the timeout of a wait, for the call itself.
const waitMargin = 5 * time.Second

func (a *app) getCommand() *cobra.Command {
	return newCommand("get", "Show the whole configuration", 0, func(cmd *cobra.Command, _ []string) error {
		c, err := a.configuration(cmd.Context())
		if err != nil {
			return err
		}
		return a.print(c, func(w io.Writer) { _, _ = fmt.Fprintln(w, protojson.Format(c)) })
	})
}

func (a *app) historyCommand() *cobra.Command {
	req := &pb.HistoryRequest{}
	cmd := newCommand("history", "List accepted changes, newest first", 0, func(cmd *cobra.Command, _ []string) error {
		c, err := a.connect()
		if err != nil {
			return err
		}
		r, err := call(cmd.Context(), c, req, operatorClient.History)
		if err != nil {
			return err
		}
		return a.print(r, func(w io.Writer) {
			for _, e := range r.GetEntries() {
				at := time.UnixMilli(e.GetAcceptedUnixMs()).UTC().Format(time.RFC3339)
				_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.GetRevision(), at, e.GetOperator(), e.GetOperationId(), e.GetReason())
			}
		})
	})
	cmd.Flags().Uint64Var(&req.BeforeRevision, "before", 0, "list only changes before this revision")
	cmd.Flags().Int32Var(&req.Limit, "limit", 0, "maximum number of changes")
	return cmd
}

func (a *app) waitCommand() *cobra.Command {
	return newCommand("wait REVISION", "Wait until a revision is in force on every VM (within --timeout)", 1, func(cmd *cobra.Command, args []string) error {
		revision, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return errkind.New(errkind.InvalidRequest, "%q is not a revision", args[0])
		}
		c, err := a.connect()
		if err != nil {
			return err
		}
		timeout := c.timeout
		c.timeout += waitMargin
		r, err := call(cmd.Context(), c, &pb.WaitRequest{Revision: revision, TimeoutMs: timeout.Milliseconds()}, operatorClient.Wait)
		if err != nil {
			return err
		}
		if !r.GetInForce() {
			return errkind.New(errkind.Timeout, "revision %d is not in force everywhere; waiting for %s", revision, strings.Join(r.GetWaitingFor(), ", "))
		}
		return a.print(r, func(w io.Writer) { _, _ = fmt.Fprintf(w, "revision %d is in force\n", revision) })
	})
}

func (a *app) statusCommand() *cobra.Command {
	return newCommand("status", "Show a replica's view of the group and the VMs", 0, func(cmd *cobra.Command, _ []string) error {
		c, err := a.connect()
		if err != nil {
			return err
		}
		r, err := call(cmd.Context(), c, &pb.StatusRequest{}, operatorClient.Status)
		if err != nil {
			return err
		}
		return a.print(r, func(w io.Writer) { writeStatus(w, r) })
	})
}

func writeStatus(w io.Writer, r *pb.StatusResponse) {
	_, _ = fmt.Fprintf(w, "replica %d, %s, term %d, leader %s, commit %d, applied %d, revision %d\n", r.GetReplica(), r.GetRole(),
		r.GetTerm(), r.GetLeaderAddress(), r.GetCommitIndex(), r.GetAppliedIndex(), r.GetRevision())
	for _, x := range r.GetReplicas() {
		_, _ = fmt.Fprintf(w, "replica %d\t%s\tlearner %t\tmatch %d\n", x.GetId(), x.GetAddress(), x.GetLearner(), x.GetMatchIndex())
	}
	for _, v := range r.GetVms() {
		_, _ = fmt.Fprintf(w, "vm %s\t%s\t%s\trevision %d\tleaving %t\tsilent %d ms\n", v.GetName(), v.GetAddress(),
			v.GetFailureDomain(), v.GetRevision(), v.GetLeaving(), v.GetSilentMs())
	}
}

func (a *app) replicaCommand() *cobra.Command {
	printIndex := func(r *pb.MembershipResponse, err error) error {
		if err != nil {
			return err
		}
		return a.print(r, func(w io.Writer) { _, _ = fmt.Fprintf(w, "log index %d\n", r.GetIndex()) })
	}
	parseNumber := func(text string) (uint64, error) {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return 0, errkind.New(errkind.InvalidRequest, "%q is not a replica number", text)
		}
		return n, nil
	}
	// newReplicaCommand returns a command whose first argument is a replica number.
	newReplicaCommand := func(use, short string, args int, do func(ctx context.Context, c *client, id uint64, args []string) (*pb.MembershipResponse, error)) *cobra.Command {
		return newCommand(use, short, args, func(cmd *cobra.Command, args []string) error {
			id, err := parseNumber(args[0])
			if err != nil {
				return err
			}
			c, err := a.connect()
			if err != nil {
				return err
			}
			return printIndex(do(cmd.Context(), c, id, args))
		})
	}
	add := newReplicaCommand("add NUMBER PEER-ADDRESS", "Add a replica as a learner; it becomes a voter automatically", 2,
		func(ctx context.Context, c *client, id uint64, args []string) (*pb.MembershipResponse, error) {
			return call(ctx, c, &pb.AddReplicaRequest{Id: id, Address: args[1]}, operatorClient.AddReplica)
		})
	remove := newReplicaCommand("remove NUMBER", "Remove a replica from the group", 1,
		func(ctx context.Context, c *client, id uint64, _ []string) (*pb.MembershipResponse, error) {
			return call(ctx, c, &pb.RemoveReplicaRequest{Id: id}, operatorClient.RemoveReplica)
		})
	transfer := newReplicaCommand("transfer NUMBER", "Transfer leadership; 0 lets the leader choose", 1,
		func(ctx context.Context, c *client, id uint64, _ []string) (*pb.MembershipResponse, error) {
			return call(ctx, c, &pb.TransferLeadershipRequest{To: id}, operatorClient.TransferLeadership)
		})
	return group("replica", "Replicas of the control state", add, remove, transfer)
}

func (a *app) backupCommand() *cobra.Command {
	return newCommand("backup FILE", "Write the configuration to a file", 1, func(cmd *cobra.Command, args []string) error {
		c, err := a.connect()
		if err != nil {
			return err
		}
		r, err := call(cmd.Context(), c, &pb.BackupRequest{}, operatorClient.Backup)
		if err != nil {
			return err
		}
		if err := os.WriteFile(args[0], r.GetImage(), backupFileMode); err != nil {
			return errkind.Wrap(err, errkind.InvalidRequest, "backup file")
		}
		return a.print(&pb.BackupResponse{Revision: r.GetRevision()}, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "revision %d, %d bytes\n", r.GetRevision(), len(r.GetImage()))
		})
	})
}

func (a *app) restoreCommand() *cobra.Command {
	return a.changeFlags(newCommand("restore FILE", "Put a backup in force as a new revision; withdrawn keys stay withdrawn", 1, func(cmd *cobra.Command, args []string) error {
		image, err := os.ReadFile(args[0])
		if err != nil {
			return errkind.Wrap(err, errkind.InvalidRequest, "backup file")
		}
		c, err := a.connect()
		if err != nil {
			return err
		}
		r, err := call(cmd.Context(), c, &pb.RestoreRequest{Meta: a.meta(), Image: image}, operatorClient.Restore)
		if err != nil {
			return err
		}
		return a.printChange(r)
	}))
}
