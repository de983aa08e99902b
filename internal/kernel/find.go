package kernel

import "github.com/cockroachdb/errors"

// Dependency looks up a module that another one uses and stores it.
type Dependency func(*Kernel) error

// As returns the dependency on the module registered under name, which must be a T and is
// stored in target.
func As[T any](name string, target *T) Dependency {
	return func(k *Kernel) error {
		found, err := Lookup[T](k, name)
		if err != nil {
			return err
		}
		*target = found
		return nil
	}
}

// Find looks up all dependencies and returns the errors of those that fail, combined.
func (k *Kernel) Find(dependencies ...Dependency) error {
	var all error
	for _, find := range dependencies {
		all = errors.CombineErrors(all, find(k))
	}
	return all
}
