// Package kernel implements the life cycle of the process: the registry of
// adapters, the duties (background loops), which run in one goroutine each, and the order
// in which they start, drain and stop.
package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Duty is a named background loop of the process. Run returns when ctx ends.
type Duty struct {
	Name string
	Run  func(ctx context.Context)
}

// Drainer waits for work that must end before the process stops. Drain returns when
// nothing is in progress, or with the error of ctx.
type Drainer struct {
	Name  string
	Drain func(ctx context.Context) error
}

// Kernel runs duties. One goroutine builds it and then starts it once.
type Kernel struct {
	log      *logrus.Entry
	duties   []Duty
	drainers []Drainer
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// New returns a kernel without duties.
func New(log *logrus.Entry) *Kernel {
	return &Kernel{log: log}
}

// AddDuty adds a duty; it must be called before Start.
func (k *Kernel) AddDuty(name string, run func(ctx context.Context)) {
	k.duties = append(k.duties, Duty{Name: name, Run: run})
}

// AddDrainer adds a drainer; drainers run one after another in the order of adding.
func (k *Kernel) AddDrainer(name string, drain func(ctx context.Context) error) {
	k.drainers = append(k.drainers, Drainer{Name: name, Drain: drain})
}

// Start runs every duty in a goroutine of its own.
func (k *Kernel) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	for _, duty := range k.duties {
		k.running.Add(1)
		go k.run(ctx, duty)
	}
}

func (k *Kernel) run(ctx context.Context, duty Duty) {
	defer k.running.Done()
	k.log.WithField("duty", duty.Name).Debug("duty_started")
	duty.Run(ctx)
	k.log.WithField("duty", duty.Name).Debug("duty_ended")
}

// Drain runs the drainers in order and reports whether all ended within the timeout.
func (k *Kernel) Drain(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	clean := true
	for _, drainer := range k.drainers {
		if err := drainer.Drain(ctx); err != nil {
			k.log.WithField("drainer", drainer.Name).WithField("error", err.Error()).Warn("drain_incomplete")
			clean = false
		}
	}
	return clean
}

// Stop cancels all duties and waits until they return.
func (k *Kernel) Stop() {
	if k.cancel == nil {
		return
	}
	k.cancel()
	k.running.Wait()
}
