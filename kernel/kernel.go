// Package kernel holds the services of one process. Services can be looked up by
// name, are started in the order in which they were added and are closed in
// reverse order.
package kernel

import (
	"fmt"
	"sync"

	"github.com/pkg/errors"
)

// Service is a part of the process that is started once and closed once.
// Close returns after all goroutines of the service have ended.
type Service interface {
	Run(k *Kernel) error
	Close() error
}

// Kernel is the registry of the services of one process.
type Kernel struct {
	mu       sync.Mutex
	services map[string]Service
	order    []string // names in the order of Add
	running  []string // names of the started services, in the order of their start
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: map[string]Service{}}
}

// Add registers a service under a name. It panics if the name is already
// registered.
func (k *Kernel) Add(name string, s Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, exists := k.services[name]; exists {
		panic(fmt.Sprintf("kernel: service %q added twice", name))
	}
	k.services[name] = s
	k.order = append(k.order, name)
}

// Find returns the service with the name. It panics if there is none.
func (k *Kernel) Find(name string) Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.services[name]
	if !ok {
		panic(fmt.Sprintf("kernel: no service %q", name))
	}
	return s
}

// Run starts all services in the order in which they were added. If one fails,
// those already started are closed and the error is returned.
func (k *Kernel) Run() error {
	for _, name := range k.order {
		if err := k.Find(name).Run(k); err != nil {
			_ = k.Close()
			return errors.Wrapf(err, "start service %q", name)
		}
		k.running = append(k.running, name)
	}
	return nil
}

// Close closes the running services in reverse order and returns the first
// error.
func (k *Kernel) Close() error {
	var firstErr error
	for i := len(k.running) - 1; i >= 0; i-- {
		name := k.running[i]
		if err := k.Find(name).Close(); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "close service %q", name)
		}
	}
	k.running = nil
	return firstErr
}
