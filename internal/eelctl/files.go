package eelctl

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// enumName turns a word such as "kept-cache" into an enum's name.
func enumName(prefix, word string) string {
	return prefix + strings.ToUpper(strings.ReplaceAll(word, "-", "_"))
}

// readConfiguration reads a file in the form that "get -o json" writes.
func readConfiguration(path string) (*pb.Configuration, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "configuration file")
	}
	var c pb.Configuration
	if err := protojson.Unmarshal(b, &c); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "configuration file")
	}
	return &c, nil
}

// difference is one object that the file has otherwise.
type difference struct {
	text string
	mut  *pb.Mutation
}

// compareObjects lists what must change so that the objects of one type become as
// wanted. A wanted object carries the revision that it was reviewed at; without
// one it is taken as it is in have.
func compareObjects[T named](kind string, have, want []T, prune bool, name func(T) string, put func(T) *pb.Mutation, drop func(string) *pb.Mutation) []difference {
	now := map[string]T{}
	for _, x := range have {
		now[name(x)] = x
	}
	var out []difference
	wanted := map[string]bool{}
	for _, x := range want {
		wanted[name(x)] = true
		old, exists := now[name(x)]
		if exists && sameBut(old, x) {
			continue
		}
		m := put(x)
		m.ExpectedRevision = x.GetRevision()
		if exists {
			m.ExpectedRevision = cmp.Or(x.GetRevision(), old.GetRevision())
		}
		out = append(out, difference{text: sign(exists) + " " + kind + " " + protojson.MarshalOptions{UseProtoNames: true}.Format(x), mut: m})
	}
	for _, x := range have {
		if prune && !wanted[name(x)] {
			m := drop(name(x))
			m.ExpectedRevision = x.GetRevision()
			out = append(out, difference{text: "- " + kind + " " + name(x), mut: m})
		}
	}
	return out
}

func sign(exists bool) string {
	if exists {
		return "~"
	}
	return "+"
}

// sameBut compares two objects without their revisions.
func sameBut[T named](a, b T) bool {
	x, y := proto.CloneOf(a), proto.CloneOf(b)
	for _, m := range []proto.Message{x, y} {
		r := m.ProtoReflect()
		r.Clear(r.Descriptor().Fields().ByName("revision"))
	}
	return proto.Equal(x, y)
}

// compareAll compares two configurations; keys are issued and withdrawn by their
// own calls. Deletions come in the order in which nothing is left dangling.
func compareAll(have, want *pb.Configuration, prune bool) []difference {
	return slices.Concat(
		compareObjects("client account", have.GetClientAccounts(), want.GetClientAccounts(), prune, (*pb.ClientAccount).GetName,
			func(x *pb.ClientAccount) *pb.Mutation {
				return &pb.Mutation{Change: &pb.Mutation_PutClientAccount{PutClientAccount: x}}
			},
			func(n string) *pb.Mutation {
				return &pb.Mutation{Change: &pb.Mutation_DeleteClientAccount{DeleteClientAccount: n}}
			}),
		compareObjects("model", have.GetModels(), want.GetModels(), prune, (*pb.Model).GetName,
			func(x *pb.Model) *pb.Mutation { return &pb.Mutation{Change: &pb.Mutation_PutModel{PutModel: x}} },
			func(n string) *pb.Mutation {
				return &pb.Mutation{Change: &pb.Mutation_DeleteModel{DeleteModel: n}}
			}),
		compareObjects("route", have.GetRoutes(), want.GetRoutes(), prune, (*pb.Route).GetName,
			func(x *pb.Route) *pb.Mutation { return &pb.Mutation{Change: &pb.Mutation_PutRoute{PutRoute: x}} },
			func(n string) *pb.Mutation {
				return &pb.Mutation{Change: &pb.Mutation_DeleteRoute{DeleteRoute: n}}
			}),
		compareObjects("endpoint", have.GetEndpoints(), want.GetEndpoints(), prune, (*pb.Endpoint).GetName,
			func(x *pb.Endpoint) *pb.Mutation {
				return &pb.Mutation{Change: &pb.Mutation_PutEndpoint{PutEndpoint: x}}
			},
			func(n string) *pb.Mutation {
				return &pb.Mutation{Change: &pb.Mutation_DeleteEndpoint{DeleteEndpoint: n}}
			}),
	)
}

// differences compares a file with what is in force.
func (a *app) differences(cmd *cobra.Command, path string, prune bool) ([]difference, error) {
	want, err := readConfiguration(path)
	if err != nil {
		return nil, err
	}
	have, err := a.configuration(cmd.Context())
	if err != nil {
		return nil, err
	}
	return compareAll(have, want, prune), nil
}

func (a *app) diffCommand() *cobra.Command {
	var prune bool
	cmd := leaf("diff FILE", "Show what applying a configuration file would change", 1, func(cmd *cobra.Command, args []string) error {
		list, err := a.differences(cmd, args[0], prune)
		if err != nil {
			return err
		}
		req := &pb.ChangeRequest{}
		for _, d := range list {
			req.Mutations = append(req.Mutations, d.mut)
		}
		return a.print(req, func(w io.Writer) {
			for _, d := range list {
				_, _ = fmt.Fprintln(w, d.text)
			}
		})
	})
	cmd.Flags().BoolVar(&prune, "prune", false, "delete what the file does not name")
	return cmd
}

func (a *app) applyCommand() *cobra.Command {
	var prune bool
	cmd := a.changeFlags(leaf("apply FILE", "Put a reviewed configuration file in force, all of it or nothing", 1, func(cmd *cobra.Command, args []string) error {
		list, err := a.differences(cmd, args[0], prune)
		if err != nil {
			return err
		}
		if len(list) == 0 {
			return a.print(&pb.ChangeResponse{}, func(w io.Writer) { _, _ = fmt.Fprintln(w, "nothing to change") })
		}
		var muts []*pb.Mutation
		for _, d := range list {
			d.mut.AnyRevision = a.anyRevision
			muts = append(muts, d.mut)
		}
		return a.change(cmd.Context(), muts...)
	}))
	cmd.Flags().BoolVar(&prune, "prune", false, "delete what the file does not name")
	return cmd
}
