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

// enumName returns the name of an enum value for a flag's word such as "kept-cache".
func enumName(prefix, word string) string {
	return prefix + strings.ToUpper(strings.ReplaceAll(word, "-", "_"))
}

// readConfiguration reads a configuration file, which has the format of "eelctl get -o json".
func readConfiguration(path string) (*pb.Configuration, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "configuration file")
	}
	var c pb.Configuration
	if err := protojson.Unmarshal(content, &c); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "configuration file")
	}
	return &c, nil
}

// difference is one object in which the file differs from the configuration in force.
type difference struct {
	text     string // line that diff prints
	mutation *pb.Mutation
}

// compareObjects returns the differences whose mutations change the objects of one type from
// current to desired. With prune, objects that desired does not contain are deleted. The
// expected revision of a mutation is the one at which the desired object was reviewed, or that
// of the current object if the desired one has no revision.
func compareObjects[T configObject](kind string, current, desired []T, prune bool, name func(T) string, put func(T) *pb.Mutation, remove func(string) *pb.Mutation) []difference {
	byName := map[string]T{}
	for _, x := range current {
		byName[name(x)] = x
	}
	var out []difference
	desiredNames := map[string]bool{}
	for _, x := range desired {
		desiredNames[name(x)] = true
		old, exists := byName[name(x)]
		if exists && equalIgnoringRevision(old, x) {
			continue
		}
		m := put(x)
		m.ExpectedRevision = x.GetRevision()
		if exists {
			m.ExpectedRevision = cmp.Or(x.GetRevision(), old.GetRevision())
		}
		out = append(out, difference{text: changeMark(exists) + " " + kind + " " + protojson.MarshalOptions{UseProtoNames: true}.Format(x), mutation: m})
	}
	for _, x := range current {
		if prune && !desiredNames[name(x)] {
			m := remove(name(x))
			m.ExpectedRevision = x.GetRevision()
			out = append(out, difference{text: "- " + kind + " " + name(x), mutation: m})
		}
	}
	return out
}

// changeMark returns the mark of a changed or created object in the output of diff.
func changeMark(exists bool) string {
	if exists {
		return "~"
	}
	return "+"
}

// equalIgnoringRevision reports whether two objects are equal apart from their revisions.
func equalIgnoringRevision[T configObject](a, b T) bool {
	x, y := proto.CloneOf(a), proto.CloneOf(b)
	for _, m := range []proto.Message{x, y} {
		r := m.ProtoReflect()
		r.Clear(r.Descriptor().Fields().ByName("revision"))
	}
	return proto.Equal(x, y)
}

// compareAll returns the differences between two configurations. Keys are not compared, since
// they are issued and withdrawn by calls of their own. The types are in an order in which no
// deletion leaves a dangling reference.
func compareAll(current, desired *pb.Configuration, prune bool) []difference {
	return slices.Concat(
		compareObjects("client account", current.GetClientAccounts(), desired.GetClientAccounts(), prune, (*pb.ClientAccount).GetName,
			func(x *pb.ClientAccount) *pb.Mutation {
				return &pb.Mutation{Change: &pb.Mutation_PutClientAccount{PutClientAccount: x}}
			},
			func(n string) *pb.Mutation {
				return &pb.Mutation{Change: &pb.Mutation_DeleteClientAccount{DeleteClientAccount: n}}
			}),
		compareObjects("model", current.GetModels(), desired.GetModels(), prune, (*pb.Model).GetName,
			func(x *pb.Model) *pb.Mutation { return &pb.Mutation{Change: &pb.Mutation_PutModel{PutModel: x}} },
			func(n string) *pb.Mutation {
				return &pb.Mutation{Change: &pb.Mutation_DeleteModel{DeleteModel: n}}
			}),
		compareObjects("route", current.GetRoutes(), desired.GetRoutes(), prune, (*pb.Route).GetName,
			func(x *pb.Route) *pb.Mutation { return &pb.Mutation{Change: &pb.Mutation_PutRoute{PutRoute: x}} },
			func(n string) *pb.Mutation {
				return &pb.Mutation{Change: &pb.Mutation_DeleteRoute{DeleteRoute: n}}
			}),
		compareObjects("endpoint", current.GetEndpoints(), desired.GetEndpoints(), prune, (*pb.Endpoint).GetName,
			func(x *pb.Endpoint) *pb.Mutation {
				return &pb.Mutation{Change: &pb.Mutation_PutEndpoint{PutEndpoint: x}}
			},
			func(n string) *pb.Mutation {
				return &pb.Mutation{Change: &pb.Mutation_DeleteEndpoint{DeleteEndpoint: n}}
			}),
	)
}

// differences compares a file with the configuration in force.
func (a *app) differences(cmd *cobra.Command, path string, prune bool) ([]difference, error) {
	desired, err := readConfiguration(path)
	if err != nil {
		return nil, err
	}
	current, err := a.configuration(cmd.Context())
	if err != nil {
		return nil, err
	}
	return compareAll(current, desired, prune), nil
}

func (a *app) diffCommand() *cobra.Command {
	var prune bool
	cmd := newCommand("diff FILE", "Show what applying a configuration file would change", 1, func(cmd *cobra.Command, args []string) error {
		list, err := a.differences(cmd, args[0], prune)
		if err != nil {
			return err
		}
		req := &pb.ChangeRequest{}
		for _, d := range list {
			req.Mutations = append(req.Mutations, d.mutation)
		}
		return a.print(req, func(w io.Writer) {
			for _, d := range list {
				_, _ = fmt.Fprintln(w, d.text)
			}
		})
	})
	cmd.Flags().BoolVar(&prune, "prune", false, "delete objects that the file does not contain")
	return cmd
}

func (a *app) applyCommand() *cobra.Command {
	var prune bool
	cmd := a.changeFlags(newCommand("apply FILE", "Put a reviewed configuration file in force, all of it or none", 1, func(cmd *cobra.Command, args []string) error {
		list, err := a.differences(cmd, args[0], prune)
		if err != nil {
			return err
		}
		if len(list) == 0 {
			return a.print(&pb.ChangeResponse{}, func(w io.Writer) { _, _ = fmt.Fprintln(w, "nothing to change") })
		}
		var mutations []*pb.Mutation
		for _, d := range list {
			d.mutation.AnyRevision = a.anyRevision
			mutations = append(mutations, d.mutation)
		}
		return a.change(cmd.Context(), mutations...)
	}))
	cmd.Flags().BoolVar(&prune, "prune", false, "delete objects that the file does not contain")
	return cmd
}
