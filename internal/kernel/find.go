package kernel

import "github.com/cockroachdb/errors"

// Dependency is a module that another one looks up when it is provisioned.
type Dependency func(*Kernel) error

// As needs the module registered under name as a T and puts it into into.
func As[T any](name string, into *T) Dependency {
	return func(k *Kernel) error {
		found, err := Lookup[T](k, name)
		if err != nil {
			return err
		}
		*into = found
		return nil
	}
}

// Find fills every need and reports all that are not met together.
func (k *Kernel) Find(needs ...Dependency) error {
	var all error
	for _, need := range needs {
		all = errors.CombineErrors(all, need(k))
	}
	return all
}
