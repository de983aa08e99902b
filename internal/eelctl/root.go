package eelctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// defaultTimeout bounds a command, retries included.
const defaultTimeout = 15 * time.Second

// app holds the output and the values of the flags that the commands share.
type app struct {
	out io.Writer

	servers     []string
	tokenFile   string
	output      string
	timeout     time.Duration
	operation   string
	reason      string
	dryRun      bool
	expected    uint64
	anyRevision bool
}

// Main runs the command line and returns the exit code: 0, or that of the error's kind.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{out: out}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	e := toError(err)
	if a.output == "json" {
		_, _ = fmt.Fprintf(errOut, "{\"error\":%q,\"text\":%q,\"outcome\":%q,\"revision\":%d}\n", e.Kind, e.Text, e.Outcome, e.Revision)
	} else {
		_, _ = fmt.Fprintln(errOut, "eelctl:", e.Error())
	}
	return e.Kind.Properties().Exit
}

// toError returns err with its kind. An error without a kind, such as cobra's for a wrong
// flag, is an invalid request.
func toError(err error) *errkind.Error {
	if e := errkind.Of(err); e.Kind != errkind.Internal {
		return e
	}
	return errkind.Wrap(err, errkind.InvalidRequest, "command line")
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{Use: "eelctl", Short: "Operate eelgrasshollow", SilenceUsage: true, SilenceErrors: true}
	f := root.PersistentFlags()
	f.StringSliceVar(&a.servers, "server", strings.Split(envOr("EELCTL_SERVER", "http://127.0.0.1:7201"), ","), "operator addresses of the control replicas")
	f.StringVar(&a.tokenFile, "token-file", os.Getenv("EELCTL_TOKEN_FILE"), "file with the operator's token")
	f.StringVarP(&a.output, "output", "o", "text", "text or json")
	f.DurationVar(&a.timeout, "timeout", defaultTimeout, "timeout of the whole command, retries included")
	root.AddCommand(a.accountCommand(), a.keyCommand(), a.routeCommand(), a.modelCommand(), a.endpointCommand(),
		a.applyCommand(), a.diffCommand(), a.getCommand(), a.historyCommand(), a.waitCommand(), a.statusCommand(),
		a.replicaCommand(), a.backupCommand(), a.restoreCommand(), a.topCommand(), a.explainCommand(), a.lossesCommand(), a.rolloutCommand())
	return root
}

// envOr returns an environment variable, or fallback if it is unset or empty.
func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func (a *app) connect() (*client, error) { return newClient(a.servers, a.tokenFile, a.timeout) }

// changeFlags adds the flags of a command that changes the configuration.
func (a *app) changeFlags(cmd *cobra.Command) *cobra.Command {
	f := cmd.Flags()
	f.StringVar(&a.operation, "operation-id", "", "operation ID; a repeat with the same ID is not applied again (default: a new ID)")
	f.StringVar(&a.reason, "reason", "", "reason that the history shows")
	f.BoolVar(&a.dryRun, "dry-run", false, "only check the change")
	f.Uint64Var(&a.expected, "expected-revision", 0, "revision that the object must have")
	f.BoolVar(&a.anyRevision, "any-revision", false, "change the object whatever its revision is")
	return cmd
}

// meta returns the metadata of a change. It generates the operation ID once per command, so
// that retries carry the same one.
func (a *app) meta() *pb.ChangeMeta {
	if a.operation == "" {
		a.operation = uuid.Must(uuid.NewV7()).String()
	}
	return &pb.ChangeMeta{OperationId: a.operation, DryRun: a.dryRun, Reason: a.reason}
}

// print writes a response as JSON if -o json is set, and otherwise calls text.
func (a *app) print(m proto.Message, text func(w io.Writer)) error {
	if a.output != "json" {
		text(a.out)
		return nil
	}
	b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s\n", b)
	return err
}

func (a *app) printChange(r *pb.ChangeResponse) error {
	return a.print(r, func(w io.Writer) {
		note := ""
		if r.GetRepeated() {
			note = " (carried out before)"
		}
		if r.GetDryRun() {
			note += " (dry run)"
		}
		_, _ = fmt.Fprintf(w, "revision %d%s\n", r.GetRevision(), note)
	})
}

// group returns a command that only holds subcommands.
func group(use, short string, subs ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short}
	cmd.AddCommand(subs...)
	return cmd
}

// newCommand returns a command that takes exactly args arguments.
func newCommand(use, short string, args int, run func(cmd *cobra.Command, args []string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(args), RunE: run}
}
