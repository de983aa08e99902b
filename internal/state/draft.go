package state

import (
	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"

	"google.golang.org/protobuf/proto"
)

// draft is the objects as a command would leave them, over the base.
type draft struct {
	base     *objects
	revision uint64
	now      int64 // milliseconds since 1970, from the command

	accounts  layer[*pb.ClientAccount]
	keys      layer[*pb.Key]
	routes    layer[*pb.Route]
	models    layer[*pb.Model]
	endpoints layer[*pb.Endpoint]
}

// layer holds the changes of one type over its table.
type layer[T object] struct {
	base    table[T]
	put     map[string]T
	deleted map[string]bool
}

func newLayer[T object](base table[T]) layer[T] {
	return layer[T]{base: base, put: map[string]T{}, deleted: map[string]bool{}}
}

func (l *layer[T]) get(name string) (T, bool) {
	if x, ok := l.put[name]; ok {
		return x, true
	}
	var none T
	if l.deleted[name] {
		return none, false
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

// all calls f for every object until it returns an error.
func (l *layer[T]) all(f func(T) error) error {
	for name, x := range l.base {
		if _, over := l.put[name]; over || l.deleted[name] {
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

// commit writes the layer into its table and reports the deleted names.
func (l *layer[T]) commit(deleted func(name string)) {
	for name := range l.deleted {
		if _, had := l.base[name]; had {
			delete(l.base, name)
			deleted(name)
		}
	}
	for name, x := range l.put {
		l.base[name] = x
	}
}

func newDraft(base *objects, now int64) *draft {
	return &draft{base: base, revision: base.revision + 1, now: now,
		accounts: newLayer(base.accounts), keys: newLayer(base.keys), routes: newLayer(base.routes),
		models: newLayer(base.models), endpoints: newLayer(base.endpoints)}
}

// expect checks an object's revision against what the operator reviewed. put says
// that 0 means "must not exist".
func expect[T object](m *pb.Mutation, l *layer[T], kind, name string, put bool) error {
	if name == "" {
		return errkind.New(errkind.InvalidRequest, "%s needs a name", kind)
	}
	x, exists := l.get(name)
	want := m.GetExpectedRevision()
	switch {
	case !exists && !put:
		return errkind.New(errkind.NotFound, "no %s %q", kind, name)
	case m.GetAnyRevision() || want == 0 && !put:
		return nil
	case !exists && want == 0:
		return nil
	case exists && want == 0:
		e := errkind.New(errkind.AlreadyExists, "%s %q exists at revision %d", kind, name, x.GetRevision())
		e.Revision = x.GetRevision()
		return e
	case !exists || x.GetRevision() != want:
		e := errkind.New(errkind.RevisionConflict, "%s %q is not at revision %d", kind, name, want)
		if exists {
			e.Revision = x.GetRevision()
		}
		return e
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
			func(x *pb.Key) { x.Revision, x.IssuedUnixMs, x.Withdrawn = d.revision, d.now, false })
	case *pb.Mutation_WithdrawKey:
		if err := expect(m, &d.keys, "key", c.WithdrawKey, false); err != nil {
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

// message is an object that can be copied.
type message interface {
	object
	proto.Message
}

func putObject[T message](d *draft, m *pb.Mutation, l *layer[T], kind, name string, x T, stamp func(T)) error {
	if err := expect(m, l, kind, name, true); err != nil {
		return err
	}
	own := proto.CloneOf(x)
	stamp(own)
	l.set(name, own)
	return nil
}

func removeObject[T object](m *pb.Mutation, l *layer[T], kind, name string) error {
	if err := expect(m, l, kind, name, false); err != nil {
		return err
	}
	l.remove(name)
	return nil
}

func (d *draft) withdraw(id string) {
	k, _ := d.keys.get(id)
	if k.GetWithdrawn() {
		return
	}
	own := proto.CloneOf(k)
	own.Withdrawn, own.Revision = true, d.revision
	d.keys.set(id, own)
}

// withdrawAll withdraws the keys of a client account, so that they do not come
// back with a later account of that name.
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

// replace puts the configuration of a backup in force as a new revision. A key
// withdrawn since, or unknown to the backup, stays or becomes withdrawn.
func (d *draft) replace(c *pb.Configuration) {
	n := objectsOf(proto.CloneOf(c))
	replaceLayer(&d.accounts, n.accounts, func(x *pb.ClientAccount) { x.Revision = d.revision })
	replaceLayer(&d.routes, n.routes, func(x *pb.Route) { x.Revision = d.revision })
	replaceLayer(&d.models, n.models, func(x *pb.Model) { x.Revision = d.revision })
	replaceLayer(&d.endpoints, n.endpoints, func(x *pb.Endpoint) { x.Revision = d.revision })
	for id := range d.keys.base {
		if _, kept := n.keys[id]; !kept {
			d.withdraw(id)
		}
	}
	for id, k := range n.keys {
		if old, ok := d.keys.get(id); ok {
			k.Withdrawn = k.GetWithdrawn() || old.GetWithdrawn()
		}
		k.Revision = d.revision
		d.keys.set(id, k)
	}
}

func replaceLayer[T object](l *layer[T], n table[T], stamp func(T)) {
	for name := range l.base {
		l.remove(name)
	}
	for name, x := range n {
		stamp(x)
		l.set(name, x)
	}
}

// commit writes the draft into the base and returns the deletions.
func (d *draft) commit() []*pb.DeletionRecord {
	var out []*pb.DeletionRecord
	add := func(r *pb.DeletionRecord) {
		r.Revision = d.revision
		out = append(out, r)
	}
	d.accounts.commit(func(n string) { add(&pb.DeletionRecord{ClientAccount: n}) })
	d.routes.commit(func(n string) { add(&pb.DeletionRecord{Route: n}) })
	d.models.commit(func(n string) { add(&pb.DeletionRecord{Model: n}) })
	d.endpoints.commit(func(n string) { add(&pb.DeletionRecord{Endpoint: n}) })
	d.keys.commit(func(string) {})
	d.base.revision = d.revision
	return out
}
