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

// change sends mutations as one change and prints the result.
func (a *app) change(ctx context.Context, mutations ...*pb.Mutation) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	r, err := call(ctx, c, &pb.ChangeRequest{Meta: a.meta(), Mutations: mutations}, operatorClient.Change)
	if err != nil {
		return err
	}
	return a.printChange(r)
}

// changeOne sends one mutation with the revision flags.
func (a *app) changeOne(ctx context.Context, m *pb.Mutation) error {
	m.ExpectedRevision, m.AnyRevision = a.expected, a.anyRevision
	return a.change(ctx, m)
}

// configuration returns the configuration in force.
func (a *app) configuration(ctx context.Context) (*pb.Configuration, error) {
	c, err := a.connect()
	if err != nil {
		return nil, err
	}
	r, err := call(ctx, c, &pb.GetRequest{}, operatorClient.Get)
	return r.GetConfiguration(), err
}

// configObject is an object of the configuration.
type configObject interface {
	proto.Message
	GetRevision() uint64
}

// readCommands returns the commands list and show for the objects of one type.
func readCommands[T configObject](a *app, all func(*pb.Configuration) []T, name func(T) string) []*cobra.Command {
	list := newCommand("list", "List all objects", 0, func(cmd *cobra.Command, _ []string) error {
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
	show := newCommand("show NAME", "Show one object", 1, func(cmd *cobra.Command, args []string) error {
		c, err := a.configuration(cmd.Context())
		if err != nil {
			return err
		}
		for _, x := range all(c) {
			if name(x) == args[0] {
				return a.printObject(args[0], x)
			}
		}
		return errkind.New(errkind.NotFound, "%q is not in the configuration", args[0])
	})
	return []*cobra.Command{list, show}
}

func (a *app) printObject(name string, m configObject) error {
	return a.print(m, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s\trevision %d\t%s\n", name, m.GetRevision(), protojson.MarshalOptions{UseProtoNames: true}.Format(m))
	})
}

func (a *app) deleteCommand(mutation func(name string) *pb.Mutation) *cobra.Command {
	return a.changeFlags(newCommand("delete NAME", "Delete one object", 1, func(cmd *cobra.Command, args []string) error {
		return a.changeOne(cmd.Context(), mutation(args[0]))
	}))
}

func (a *app) accountCommand() *cobra.Command {
	set := func(use, short string) *cobra.Command {
		account := &pb.ClientAccount{}
		cmd := a.changeFlags(newCommand(use+" NAME", short, 1, func(cmd *cobra.Command, args []string) error {
			account.Name = args[0]
			return a.changeOne(cmd.Context(), &pb.Mutation{Change: &pb.Mutation_PutClientAccount{PutClientAccount: account}})
		}))
		f := cmd.Flags()
		f.Int64Var(&account.RateTokens, "rate", 0, "tokens a second")
		f.Int64Var(&account.BurstTokens, "burst", 0, "burst in tokens")
		f.Int32Var(&account.Priority, "priority", 0, "higher goes first")
		f.BoolVar(&account.Disabled, "disabled", false, "refuse the account's keys")
		return cmd
	}
	cmd := group("account", "Client accounts", set("create", "Create an account"), set("update", "Change an account at its --expected-revision"),
		a.deleteCommand(func(n string) *pb.Mutation {
			return &pb.Mutation{Change: &pb.Mutation_DeleteClientAccount{DeleteClientAccount: n}}
		}))
	cmd.AddCommand(readCommands(a, (*pb.Configuration).GetClientAccounts, (*pb.ClientAccount).GetName)...)
	return cmd
}

func (a *app) keyCommand() *cobra.Command {
	issue := a.changeFlags(newCommand("issue ACCOUNT", "Issue a key; the token is shown once", 1, func(cmd *cobra.Command, args []string) error {
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
	withdraw := a.changeFlags(newCommand("withdraw ID", "Withdraw a key permanently", 1, func(cmd *cobra.Command, args []string) error {
		return a.changeOne(cmd.Context(), &pb.Mutation{Change: &pb.Mutation_WithdrawKey{WithdrawKey: args[0]}})
	}))
	cmd := group("key", "Keys of client accounts", issue, withdraw)
	cmd.AddCommand(readCommands(a, (*pb.Configuration).GetKeys, (*pb.Key).GetId)...)
	return cmd
}

func (a *app) routeCommand() *cobra.Command {
	route := &pb.Route{}
	kind := ""
	put := a.changeFlags(newCommand("put NAME", "Create or change a route", 1, func(cmd *cobra.Command, args []string) error {
		route.Name = args[0]
		value, ok := pb.RouteKind_value[enumName("ROUTE_KIND_", kind)]
		if !ok {
			return errkind.New(errkind.InvalidRequest, "--kind is model or plain")
		}
		route.Kind = pb.RouteKind(value)
		return a.changeOne(cmd.Context(), &pb.Mutation{Change: &pb.Mutation_PutRoute{PutRoute: route}})
	}))
	f := put.Flags()
	f.StringVar(&kind, "kind", "model", "model or plain")
	f.StringVar(&route.PathPrefix, "path-prefix", "", "path prefix of a plain route")
	f.StringVar(&route.Model, "model", "", "model of a model route")
	f.StringVar(&route.Service, "service", "", "service of a plain route")
	f.BoolVar(&route.Open, "open", false, "requests need no key")
	f.BoolVar(&route.Idempotent, "idempotent", false, "calls may be repeated")
	f.Int32Var(&route.Priority, "priority", 0, "higher goes first")
	f.StringSliceVar(&route.ClientAccounts, "client-accounts", nil, "client accounts that may use the route; none means all")
	f.Int64Var(&route.CallTokens, "call-tokens", 0, "cost of a plain call in tokens")
	cmd := group("route", "Routes", put, a.deleteCommand(func(n string) *pb.Mutation {
		return &pb.Mutation{Change: &pb.Mutation_DeleteRoute{DeleteRoute: n}}
	}))
	cmd.AddCommand(readCommands(a, (*pb.Configuration).GetRoutes, (*pb.Route).GetName)...)
	cmd.AddCommand(a.routeExplainCommand())
	return cmd
}

func (a *app) modelCommand() *cobra.Command {
	model := &pb.Model{}
	put := a.changeFlags(newCommand("put NAME", "Create or change a model", 1, func(cmd *cobra.Command, args []string) error {
		model.Name = args[0]
		return a.changeOne(cmd.Context(), &pb.Mutation{Change: &pb.Mutation_PutModel{PutModel: model}})
	}))
	f := put.Flags()
	f.StringVar(&model.WeightsVersion, "weights-version", "", "version of the weights")
	f.StringSliceVar(&model.Adapters, "adapters", nil, "adapters")
	f.Int32Var(&model.MinEndpoints, "min-endpoints", 0, "endpoints that must be able to serve it at any time")
	cmd := group("model", "Models", put, a.deleteCommand(func(n string) *pb.Mutation {
		return &pb.Mutation{Change: &pb.Mutation_DeleteModel{DeleteModel: n}}
	}))
	cmd.AddCommand(readCommands(a, (*pb.Configuration).GetModels, (*pb.Model).GetName)...)
	return cmd
}

func (a *app) endpointCommand() *cobra.Command {
	endpoint := &pb.Endpoint{}
	role := ""
	put := a.changeFlags(newCommand("put NAME", "Create or change an endpoint", 1, func(cmd *cobra.Command, args []string) error {
		endpoint.Name = args[0]
		value, ok := pb.EndpointRole_value[enumName("ENDPOINT_ROLE_", role)]
		if !ok {
			return errkind.New(errkind.InvalidRequest, "--role is engine, kept-cache, weight-store or plain")
		}
		endpoint.Role = pb.EndpointRole(value)
		return a.changeOne(cmd.Context(), &pb.Mutation{Change: &pb.Mutation_PutEndpoint{PutEndpoint: endpoint}})
	}))
	f := put.Flags()
	f.StringVar(&endpoint.Address, "address", "", "IP address and port")
	f.StringVar(&endpoint.FailureDomain, "failure-domain", "", "failure domain")
	f.StringVar(&role, "role", "engine", "engine, kept-cache, weight-store or plain")
	f.StringSliceVar(&endpoint.Models, "models", nil, "models of an engine")
	f.StringVar(&endpoint.Service, "service", "", "service of a plain endpoint")
	f.BoolVar(&endpoint.ChecksFencing, "checks-fencing", false, "the endpoint refuses orders with an old fencing number")
	f.BoolVar(&endpoint.Leaving, "leaving", false, "the endpoint gets no new requests")
	f.Int32Var(&endpoint.MaxConcurrent, "max-concurrent", 0, "maximum number of concurrent requests; 0 for the default")
	cmd := group("endpoint", "Endpoints", put, a.deleteCommand(func(n string) *pb.Mutation {
		return &pb.Mutation{Change: &pb.Mutation_DeleteEndpoint{DeleteEndpoint: n}}
	}))
	cmd.AddCommand(readCommands(a, (*pb.Configuration).GetEndpoints, (*pb.Endpoint).GetName)...)
	return cmd
}
