package state

import (
	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"

	"google.golang.org/protobuf/proto"
)

// The error texts in this file stay as they are. Machine.Apply stores them in replicated
// results, and replicas of different versions must store the same bytes.

// draft holds the changes of a command as layers over the base objects, which stay
// unchanged until commit.
type draft struct {
	base      *objects
	revision  uint64 // of the changed objects
	nowUnixMs int64  // from the command

	accounts  layer[*pb.ClientAccount]
	keys      layer[*pb.Key]
	routes    layer[*pb.Route]
	models    layer[*pb.Model]
	endpoints layer[*pb.Endpoint]
}

// layer holds the changes to the objects of one type over their table.
type layer[T object] struct {
	base    table[T]
	put     map[string]T
	deleted map[string]bool
}

func newLayer[T object](base table[T]) layer[T] {
	return layer[T]{base: base, put: map[string]T{}, deleted: map[string]bool{}}
}

// get returns an object as changed by the layer.
func (l *layer[T]) get(name string) (T, bool) {
	if x, ok := l.put[name]; ok {
		return x, true
	}
	var zero T
	if l.deleted[name] {
		return zero, false
	}
	x, ok := l.base[name]
	return x, ok
}

func (l *layer[T]) set(name string, x T) {
	l.put[name] = x
	delete(l.deleted, name)
}

func (l *layer[T]) remove(name string) {
	delete(l.put, name)
	l.deleted[name] = true
}

// all calls f for every object, in no particular order, until f returns an error.
func (l *layer[T]) all(f func(T) error) error {
	for name, x := range l.base {
		if _, replaced := l.put[name]; replaced || l.deleted[name] {
			continue
		}
		if err := f(x); err != nil {
			return err
		}
	}
	for _, x := range l.put {
		if err := f(x); err != nil {
			return err
		}
	}
	return nil
}

// commit writes the layer into its table and calls onDelete for each name that it
// removes from the table.
func (l *layer[T]) commit(onDelete func(name string)) {
	for name := range l.deleted {
		if _, existed := l.base[name]; existed {
			delete(l.base, name)
			onDelete(name)
		}
	}
	for name, x := range l.put {
		l.base[name] = x
	}
}

func newDraft(base *objects, nowUnixMs int64) *draft {
	return &draft{base: base, revision: base.revision + 1, nowUnixMs: nowUnixMs,
		accounts: newLayer(base.accounts), keys: newLayer(base.keys), routes: newLayer(base.routes),
		models: newLayer(base.models), endpoints: newLayer(base.endpoints)}
}

// checkRevision compares an object's revision with the expected one, which the operator
// reviewed. If put is set, the expected revision 0 means that the object must not exist.
// Errors are errkind InvalidRequest, NotFound, AlreadyExists or RevisionConflict.
func checkRevision[T object](m *pb.Mutation, l *layer[T], kind, name string, put bool) error {
	if name == "" {
		return errkind.New(errkind.InvalidRequest, "%s needs a name", kind)
	}
	x, exists := l.get(name)
	expected := m.GetExpectedRevision()
	switch {
	case !exists && !put:
		return errkind.New(errkind.NotFound, "no %s %q", kind, name)
	case m.GetAnyRevision() || expected == 0 && !put:
		return nil
	case !exists && expected == 0:
		return nil
	case exists && expected == 0:
		conflict := errkind.New(errkind.AlreadyExists, "%s %q exists at revision %d", kind, name, x.GetRevision())
		conflict.Revision = x.GetRevision()
		return conflict
	case !exists || x.GetRevision() != expected:
		conflict := errkind.New(errkind.RevisionConflict, "%s %q is not at revision %d", kind, name, expected)
		if exists {
			conflict.Revision = x.GetRevision()
		}
		return conflict
	}
	return nil
}

// mutate adds one mutation to the draft.
func (d *draft) mutate(m *pb.Mutation) error {
	switch c := m.GetChange().(type) {
	case *pb.Mutation_PutClientAccount:
		return putObject(d, m, &d.accounts, "client account", c.PutClientAccount.GetName(), c.PutClientAccount,
			func(x *pb.ClientAccount) { x.Revision = d.revision })
	case *pb.Mutation_PutRoute:
		return putObject(d, m, &d.routes, "route", c.PutRoute.GetName(), c.PutRoute,
			func(x *pb.Route) { x.Revision = d.revision })
	case *pb.Mutation_PutModel:
		return putObject(d, m, &d.models, "model", c.PutModel.GetName(), c.PutModel,
			func(x *pb.Model) { x.Revision = d.revision })
	case *pb.Mutation_PutEndpoint:
		return putObject(d, m, &d.endpoints, "endpoint", c.PutEndpoint.GetName(), c.PutEndpoint,
			func(x *pb.Endpoint) { x.Revision = d.revision })
	case *pb.Mutation_PutKey:
		return putObject(d, m, &d.keys, "key", c.PutKey.GetId(), c.PutKey,
			func(x *pb.Key) { x.Revision, x.IssuedUnixMs, x.Withdrawn = d.revision, d.nowUnixMs, false })
	case *pb.Mutation_WithdrawKey:
		if err := checkRevision(m, &d.keys, "key", c.WithdrawKey, false); err != nil {
			return err
		}
		d.withdraw(c.WithdrawKey)
		return nil
	case *pb.Mutation_DeleteClientAccount:
		if err := removeObject(m, &d.accounts, "client account", c.DeleteClientAccount); err != nil {
			return err
		}
		d.withdrawAll(c.DeleteClientAccount)
		return nil
	case *pb.Mutation_DeleteRoute:
		return removeObject(m, &d.routes, "route", c.DeleteRoute)
	case *pb.Mutation_DeleteModel:
		return removeObject(m, &d.models, "model", c.DeleteModel)
	case *pb.Mutation_DeleteEndpoint:
		return removeObject(m, &d.endpoints, "endpoint", c.DeleteEndpoint)
	}
	return errkind.New(errkind.InvalidRequest, "mutation says nothing")
}

// message is an object that can be cloned.
type message interface {
	object
	proto.Message
}

// putObject adds a copy of x to the layer; stamp sets the fields that the machine owns.
func putObject[T message](d *draft, m *pb.Mutation, l *layer[T], kind, name string, x T, stamp func(T)) error {
	if err := checkRevision(m, l, kind, name, true); err != nil {
		return err
	}
	clone := proto.CloneOf(x)
	stamp(clone)
	l.set(name, clone)
	return nil
}

func removeObject[T object](m *pb.Mutation, l *layer[T], kind, name string) error {
	if err := checkRevision(m, l, kind, name, false); err != nil {
		return err
	}
	l.remove(name)
	return nil
}

// withdraw marks an existing key as withdrawn.
func (d *draft) withdraw(id string) {
	k, _ := d.keys.get(id)
	if k.GetWithdrawn() {
		return
	}
	clone := proto.CloneOf(k)
	clone.Withdrawn, clone.Revision = true, d.revision
	d.keys.set(id, clone)
}

// withdrawAll withdraws the keys of a client account, so that they do not become valid
// again with a later account of the same name.
func (d *draft) withdrawAll(account string) {
	var ids []string
	_ = d.keys.all(func(k *pb.Key) error {
		if k.GetClientAccount() == account {
			ids = append(ids, k.GetId())
		}
		return nil
	})
	for _, id := range ids {
		d.withdraw(id)
	}
}

// replace replaces the whole configuration by that of a backup, at a new revision. A key
// that was withdrawn after the backup stays withdrawn, and a key that the backup does not
// contain becomes withdrawn.
func (d *draft) replace(c *pb.Configuration) {
	restored := objectsOf(proto.CloneOf(c))
	replaceLayer(&d.accounts, restored.accounts, func(x *pb.ClientAccount) { x.Revision = d.revision })
	replaceLayer(&d.routes, restored.routes, func(x *pb.Route) { x.Revision = d.revision })
	replaceLayer(&d.models, restored.models, func(x *pb.Model) { x.Revision = d.revision })
	replaceLayer(&d.endpoints, restored.endpoints, func(x *pb.Endpoint) { x.Revision = d.revision })
	for id := range d.keys.base {
		if _, kept := restored.keys[id]; !kept {
			d.withdraw(id)
		}
	}
	for id, k := range restored.keys {
		if old, ok := d.keys.get(id); ok {
			k.Withdrawn = k.GetWithdrawn() || old.GetWithdrawn()
		}
		k.Revision = d.revision
		d.keys.set(id, k)
	}
}

// replaceLayer replaces all objects of a layer by those of a table.
func replaceLayer[T object](l *layer[T], objects table[T], stamp func(T)) {
	for name := range l.base {
		l.remove(name)
	}
	for name, x := range objects {
		stamp(x)
		l.set(name, x)
	}
}

// commit writes the draft into the base objects and returns the records of the deleted
// objects.
func (d *draft) commit() []*pb.DeletionRecord {
	var records []*pb.DeletionRecord
	add := func(r *pb.DeletionRecord) {
		r.Revision = d.revision
		records = append(records, r)
	}
	d.accounts.commit(func(n string) { add(&pb.DeletionRecord{ClientAccount: n}) })
	d.routes.commit(func(n string) { add(&pb.DeletionRecord{Route: n}) })
	d.models.commit(func(n string) { add(&pb.DeletionRecord{Model: n}) })
	d.endpoints.commit(func(n string) { add(&pb.DeletionRecord{Endpoint: n}) })
	d.keys.commit(func(string) {})
	d.base.revision = d.revision
	return records
}
