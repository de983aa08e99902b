package eelctl

import (
	"context"
	"fmt"
	"io"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/gen/eelgrass/v1/eelgrassv1connect"
	"eelgrasshollow/internal/errkind"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

type operatorClient = eelgrassv1connect.OperatorClient

// change sends mutations, each with the revision that the flags ask for.
func (a *app) change(ctx context.Context, muts ...*pb.Mutation) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	r, err := call(ctx, c, &pb.ChangeRequest{Meta: a.meta(), Mutations: muts}, operatorClient.Change)
	if err != nil {
		return err
	}
	return a.printChange(r)
}

// one sends one mutation under the flags' expected revision.
func (a *app) one(ctx context.Context, m *pb.Mutation) error {
	m.ExpectedRevision, m.AnyRevision = a.expected, a.anyRevision
	return a.change(ctx, m)
}

func (a *app) configuration(ctx context.Context) (*pb.Configuration, error) {
	c, err := a.connect()
	if err != nil {
		return nil, err
	}
	r, err := call(ctx, c, &pb.GetRequest{}, operatorClient.Get)
	return r.GetConfiguration(), err
}

// named is an object of the configuration.
type named interface {
	proto.Message
	GetRevision() uint64
}

// readCommands are list and show of one type.
func readCommands[T named](a *app, all func(*pb.Configuration) []T, name func(T) string) []*cobra.Command {
	list := leaf("list", "List all", 0, func(cmd *cobra.Command, _ []string) error {
		c, err := a.configuration(cmd.Context())
		if err != nil {
			return err
		}
		for _, x := range all(c) {
			if err := a.printObject(name(x), x); err != nil {
				return err
			}
		}
		return nil
	})
	show := leaf("show NAME", "Show one", 1, func(cmd *cobra.Command, args []string) error {
		c, err := a.configuration(cmd.Context())
		if err != nil {
			return err
		}
		for _, x := range all(c) {
			if name(x) == args[0] {
				return a.printObject(args[0], x)
			}
		}
		return errkind.New(errkind.NotFound, "no %q", args[0])
	})
	return []*cobra.Command{list, show}
}

func (a *app) printObject(name string, m named) error {
	return a.print(m, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s\trevision %d\t%s\n", name, m.GetRevision(), protojson.MarshalOptions{UseProtoNames: true}.Format(m))
	})
}

func (a *app) deleteCommand(mutation func(name string) *pb.Mutation) *cobra.Command {
	return a.changeFlags(leaf("delete NAME", "Delete one", 1, func(cmd *cobra.Command, args []string) error {
		return a.one(cmd.Context(), mutation(args[0]))
	}))
}

func (a *app) accountCommand() *cobra.Command {
	set := func(use, short string) *cobra.Command {
		x := &pb.ClientAccount{}
		cmd := a.changeFlags(leaf(use+" NAME", short, 1, func(cmd *cobra.Command, args []string) error {
			x.Name = args[0]
			return a.one(cmd.Context(), &pb.Mutation{Change: &pb.Mutation_PutClientAccount{PutClientAccount: x}})
		}))
		f := cmd.Flags()
		f.Int64Var(&x.RateTokens, "rate", 0, "tokens a second")
		f.Int64Var(&x.BurstTokens, "burst", 0, "tokens at once")
		f.Int32Var(&x.Priority, "priority", 0, "higher goes first")
		f.BoolVar(&x.Disabled, "disabled", false, "refuse the account's keys")
		return cmd
	}
	cmd := group("account", "Client accounts", set("create", "Create one"), set("update", "Change one at its --expected-revision"),
		a.deleteCommand(func(n string) *pb.Mutation {
			return &pb.Mutation{Change: &pb.Mutation_DeleteClientAccount{DeleteClientAccount: n}}
		}))
	cmd.AddCommand(readCommands(a, (*pb.Configuration).GetClientAccounts, (*pb.ClientAccount).GetName)...)
	return cmd
}

func (a *app) keyCommand() *cobra.Command {
	issue := a.changeFlags(leaf("issue ACCOUNT", "Issue a key; the token is shown once", 1, func(cmd *cobra.Command, args []string) error {
		c, err := a.connect()
		if err != nil {
			return err
		}
		r, err := call(cmd.Context(), c, &pb.IssueKeyRequest{Meta: a.meta(), ClientAccount: args[0]}, operatorClient.IssueKey)
		if err != nil {
			return err
		}
		return a.print(r, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "id %s\ntoken %s\nrevision %d\n", r.GetId(), r.GetToken(), r.GetRevision())
		})
	}))
	withdraw := a.changeFlags(leaf("withdraw ID", "Withdraw a key for good", 1, func(cmd *cobra.Command, args []string) error {
		return a.one(cmd.Context(), &pb.Mutation{Change: &pb.Mutation_WithdrawKey{WithdrawKey: args[0]}})
	}))
	cmd := group("key", "Keys of client accounts", issue, withdraw)
	cmd.AddCommand(readCommands(a, (*pb.Configuration).GetKeys, (*pb.Key).GetId)...)
	return cmd
}

func (a *app) routeCommand() *cobra.Command {
	x := &pb.Route{}
	kind := ""
	put := a.changeFlags(leaf("put NAME", "Create or change one", 1, func(cmd *cobra.Command, args []string) error {
		x.Name = args[0]
		value, ok := pb.RouteKind_value[enumName("ROUTE_KIND_", kind)]
		if !ok {
			return errkind.New(errkind.InvalidRequest, "--kind is model or plain")
		}
		x.Kind = pb.RouteKind(value)
		return a.one(cmd.Context(), &pb.Mutation{Change: &pb.Mutation_PutRoute{PutRoute: x}})
	}))
	f := put.Flags()
	f.StringVar(&kind, "kind", "model", "model or plain")
	f.StringVar(&x.PathPrefix, "path-prefix", "", "path prefix of a plain route")
	f.StringVar(&x.Model, "model", "", "model of a model route")
	f.StringVar(&x.Service, "service", "", "service of a plain route")
	f.BoolVar(&x.Open, "open", false, "no key is needed")
	f.BoolVar(&x.Idempotent, "idempotent", false, "calls may be repeated")
	f.Int32Var(&x.Priority, "priority", 0, "higher goes first")
	f.StringSliceVar(&x.ClientAccounts, "client-accounts", nil, "client accounts that may use it; none means all")
	f.Int64Var(&x.CallTokens, "call-tokens", 0, "cost of a plain call in tokens")
	cmd := group("route", "Routes", put, a.deleteCommand(func(n string) *pb.Mutation {
		return &pb.Mutation{Change: &pb.Mutation_DeleteRoute{DeleteRoute: n}}
	}))
	cmd.AddCommand(readCommands(a, (*pb.Configuration).GetRoutes, (*pb.Route).GetName)...)
	return cmd
}

func (a *app) modelCommand() *cobra.Command {
	x := &pb.Model{}
	put := a.changeFlags(leaf("put NAME", "Create or change one", 1, func(cmd *cobra.Command, args []string) error {
		x.Name = args[0]
		return a.one(cmd.Context(), &pb.Mutation{Change: &pb.Mutation_PutModel{PutModel: x}})
	}))
	f := put.Flags()
	f.StringVar(&x.WeightsVersion, "weights-version", "", "version of the weights")
	f.StringSliceVar(&x.Adapters, "adapters", nil, "adapters")
	f.Int32Var(&x.MinEndpoints, "min-endpoints", 0, "endpoints that must be able to serve it at any time")
	cmd := group("model", "Models", put, a.deleteCommand(func(n string) *pb.Mutation {
		return &pb.Mutation{Change: &pb.Mutation_DeleteModel{DeleteModel: n}}
	}))
	cmd.AddCommand(readCommands(a, (*pb.Configuration).GetModels, (*pb.Model).GetName)...)
	return cmd
}

func (a *app) endpointCommand() *cobra.Command {
	x := &pb.Endpoint{}
	role := ""
	put := a.changeFlags(leaf("put NAME", "Create or change one", 1, func(cmd *cobra.Command, args []string) error {
		x.Name = args[0]
		value, ok := pb.EndpointRole_value[enumName("ENDPOINT_ROLE_", role)]
		if !ok {
			return errkind.New(errkind.InvalidRequest, "--role is engine, kept-cache, weight-store or plain")
		}
		x.Role = pb.EndpointRole(value)
		return a.one(cmd.Context(), &pb.Mutation{Change: &pb.Mutation_PutEndpoint{PutEndpoint: x}})
	}))
	f := put.Flags()
	f.StringVar(&x.Address, "address", "", "IP address and port")
	f.StringVar(&x.FailureDomain, "failure-domain", "", "failure domain")
	f.StringVar(&role, "role", "engine", "engine, kept-cache, weight-store or plain")
	f.StringSliceVar(&x.Models, "models", nil, "models of an engine")
	f.StringVar(&x.Service, "service", "", "service of a plain endpoint")
	f.BoolVar(&x.ChecksFencing, "checks-fencing", false, "it refuses orders with an old fencing number")
	f.BoolVar(&x.Leaving, "leaving", false, "it gets no new work")
	f.Int32Var(&x.MaxConcurrent, "max-concurrent", 0, "requests at a time; 0 takes the default")
	cmd := group("endpoint", "Endpoints", put, a.deleteCommand(func(n string) *pb.Mutation {
		return &pb.Mutation{Change: &pb.Mutation_DeleteEndpoint{DeleteEndpoint: n}}
	}))
	cmd.AddCommand(readCommands(a, (*pb.Configuration).GetEndpoints, (*pb.Endpoint).GetName)...)
	return cmd
}
