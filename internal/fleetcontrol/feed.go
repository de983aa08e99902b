package fleetcontrol

// Delta holds what changed in a list between two versions, or the whole list.
type Delta[T any] struct {
	Version uint64
	Full    bool     // Set is the whole list
	Set     []T      // added and changed items
	Removed []string // keys of removed items
}

// Changes reports whether the delta changes anything for a reader.
func (d *Delta[T]) Changes() bool { return d.Full || len(d.Set) > 0 || len(d.Removed) > 0 }

// maxRemembered is the number of removed items that a feed keeps for readers with an older
// version. A reader that is further behind gets the whole list.
const maxRemembered = 1024

// feed is a list with a version, from which readers get what has changed since the version
// that they have. The zero value of version means that there is no list yet. It is not safe
// for concurrent use.
type feed[T any] struct {
	key   func(T) string
	equal func(a, b T) bool

	version   uint64
	items     map[string]versioned[T]
	removed   []removal // oldest first
	forgotten uint64    // removals up to this version are no longer kept
}

type versioned[T any] struct {
	item      T
	changedAt uint64
}

type removal struct {
	key       string
	removedAt uint64
}

func newFeed[T any](key func(T) string, equal func(a, b T) bool) *feed[T] {
	return &feed[T]{key: key, equal: equal, items: map[string]versioned[T]{}}
}

// set replaces the list and reports whether that changed anything.
func (f *feed[T]) set(items []T) bool {
	next, changed := f.version+1, f.version == 0
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		key := f.key(item)
		listed[key] = true
		if old, known := f.items[key]; !known || !f.equal(old.item, item) {
			f.items[key], changed = versioned[T]{item, next}, true
		}
	}
	for key := range f.items {
		if !listed[key] {
			f.remove(key, next)
			changed = true
		}
	}
	if changed {
		f.version = next
	}
	return changed
}

func (f *feed[T]) remove(key string, version uint64) {
	delete(f.items, key)
	f.removed = append(f.removed, removal{key, version})
	if excess := len(f.removed) - maxRemembered; excess > 0 {
		f.forgotten = f.removed[excess-1].removedAt
		f.removed = f.removed[excess:]
	}
}

// since returns what a reader with the given version lacks; 0 if it has no list. If that is the
// whole list, Set is left empty. A reader that has been at a replica ahead of this one lacks
// nothing and keeps its version.
func (f *feed[T]) since(version uint64) Delta[T] {
	d := Delta[T]{Version: max(version, f.version)}
	if version >= f.version {
		return d
	}
	d.Full = version == 0 || version < f.forgotten
	if d.Full {
		return d
	}
	for _, v := range f.items {
		if v.changedAt > version {
			d.Set = append(d.Set, v.item)
		}
	}
	for _, r := range f.removed {
		if _, back := f.items[r.key]; r.removedAt > version && !back {
			d.Removed = append(d.Removed, r.key)
		}
	}
	return d
}

// apply applies a delta from the feed that this one mirrors, with its version.
func (f *feed[T]) apply(d Delta[T]) {
	if d.Full {
		// What changed in the versions before is unknown.
		f.items, f.removed, f.forgotten = map[string]versioned[T]{}, nil, d.Version
	}
	for _, item := range d.Set {
		f.items[f.key(item)] = versioned[T]{item, d.Version}
	}
	for _, key := range d.Removed {
		f.remove(key, d.Version)
	}
	f.version = d.Version
}

// list returns all items in no particular order.
func (f *feed[T]) list() []T {
	all := make([]T, 0, len(f.items))
	for _, v := range f.items {
		all = append(all, v.item)
	}
	return all
}

// ApplyDelta returns the list after a delta. key identifies an item.
func ApplyDelta[T any](list []T, d Delta[T], key func(T) string) []T {
	if d.Full {
		return d.Set
	}
	replaced := make(map[string]bool, len(d.Set)+len(d.Removed))
	for _, k := range d.Removed {
		replaced[k] = true
	}
	for _, item := range d.Set {
		replaced[key(item)] = true
	}
	next := make([]T, 0, len(list)+len(d.Set))
	for _, item := range list {
		if !replaced[key(item)] {
			next = append(next, item)
		}
	}
	return append(next, d.Set...)
}
