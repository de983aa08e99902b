package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"eelgrasshollow/internal/cachespace"
)

// namespaceField names the cache namespace of a request's last attempt in its last line.
const namespaceField = "cache_namespace"

// withoutAccount is printed for requests without a client account.
const withoutAccount = "(no account)"

// NamespaceUse tells which requests in the logs had one cache namespace.
type NamespaceUse struct {
	Namespace string
	// Unique is set for a namespace that only one request may have.
	Unique bool
	// Requests counts the requests by client account; "" stands for those without one.
	Requests map[string]int
}

// Namespaces returns the use of each cache namespace, in order of the namespaces.
func Namespaces(lines []Line) []NamespaceUse {
	byName := map[string]*NamespaceUse{}
	for i := range lines {
		name, sent := namespaceOf(&lines[i])
		if !sent {
			continue
		}
		use := byName[name]
		if use == nil {
			use = &NamespaceUse{Namespace: name, Unique: cachespace.IsUnique(name), Requests: map[string]int{}}
			byName[name] = use
		}
		use.Requests[lines[i].Text("client_account")]++
	}
	var all []NamespaceUse
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		all = append(all, *byName[name])
	}
	return all
}

// namespaceOf returns the cache namespace of a request's last attempt; sent is false if the line isn't a request's last
// one, if its VM sent the request to no server, or if the line is of a version that didn't log it. The line of a VM that
// only forwarded the request names no server.
func namespaceOf(l *Line) (name string, sent bool) {
	name, logged := l.Fields[namespaceField].(string)
	return name, logged && l.Request != "" && l.Text("outcome") != "" && l.Text("server") != "" && l.Number("sends") > 0
}

// InNamespace returns the last lines of the requests with a cache namespace, in order of time.
func InNamespace(lines []Line, name string) []Event {
	return slices.DeleteFunc(OnCommonTime(lines), func(e Event) bool {
		n, sent := namespaceOf(e.Line)
		return !sent || n != name
	})
}

// Accounts returns the client accounts of the requests with their counts, those with most requests first.
func (u *NamespaceUse) Accounts() string {
	names := slices.SortedFunc(maps.Keys(u.Requests), func(a, b string) int {
		return cmp.Or(cmp.Compare(u.Requests[b], u.Requests[a]), cmp.Compare(a, b))
	})
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", cmp.Or(name, withoutAccount), u.Requests[name])
	}
	return strings.Join(names, ", ")
}

// total returns the number of requests that had the namespace.
func (u *NamespaceUse) total() (n int) {
	for _, requests := range u.Requests {
		n += requests
	}
	return n
}

// Shared reports whether requests of more than one client account had the namespace, or more than one request had a
// namespace of a single one.
func (u *NamespaceUse) Shared() bool { return len(u.Requests) > 1 || u.Unique && u.total() > 1 }

// String describes the namespace and the requests that had it.
func (u *NamespaceUse) String() string {
	total := u.total()
	switch {
	case u.Unique && total == 1:
		return u.Namespace + ": no other request has it"
	case u.Unique:
		return fmt.Sprintf("%s: only one request may have it, but %d had: %s", u.Namespace, total, u.Accounts())
	case u.Namespace == "":
		return "none, which all such requests share; requests in the logs: " + u.Accounts()
	}
	return u.Namespace + "; requests in the logs: " + u.Accounts()
}

// namespaceUse returns the use of the cache namespace in which a request was sent last, or nil if that is not known, and
// the last lines of the latest earlier requests of other client accounts that had it, at most maxRelatedRequests.
func namespaceUse(lines []Line, events, own []Event) (use *NamespaceUse, others []Event) {
	for _, last := range slices.Backward(own) { // the VM that sent a forwarded request may not have the last line
		name, sent := namespaceOf(last.Line)
		if !sent {
			continue
		}
		all := Namespaces(lines)
		use = &all[slices.IndexFunc(all, func(u NamespaceUse) bool { return u.Namespace == name })]
		for _, e := range events {
			n, sent := namespaceOf(e.Line)
			if sent && n == name && e.When.Before(last.When) && e.Text("client_account") != last.Text("client_account") {
				others = append(others, e)
			}
		}
		return use, others[max(0, len(others)-maxRelatedRequests):]
	}
	return nil, nil
}
