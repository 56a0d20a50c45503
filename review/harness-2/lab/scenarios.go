package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const readyTimeout = 15 * time.Second

// newID returns the ID of a job, 16 hexadecimal digits.
func newID(random *rand.Rand) string { return fmt.Sprintf("%016x", random.Uint64()) }

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// startDeployment starts workers and instances, and waits until they serve.
func startDeployment(f *fleet, instances, workers, rackSize int) error {
	if err := f.addWorkers(workers, rackSize); err != nil {
		return err
	}
	for index := range instances {
		if err := f.startInstance(index); err != nil {
			return err
		}
	}
	return f.awaitReady(readyTimeout)
}

// crashDuration is how long a crashed worker is away.
const crashDuration = 4500 * time.Millisecond

// playAntiAffinity has one worker of a rack crash before a step comes whose data is in that rack, and
// of which one task at most may run on a worker.
func playAntiAffinity(f *fleet, trouble bool, seed uint64) error {
	const workers, rackSize = 24, 8
	random := newRandom(seed)
	if err := startDeployment(f, 3, workers, rackSize); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		k := f.world.workers[random.IntN(rackSize)]
		k.crash()
		time.AfterFunc(crashDuration, k.restart)
		time.Sleep(2500 * time.Millisecond)
	}
	j := &job{id: newID(random), Spec: "recon",
		Steps: []step{{Count: rackSize, CPU: 5600, MemMB: 16000, GPU: 1, EstRuntimeMS: 6000, DataRack: f.world.workers[0].rack, AntiAffinity: 1, work: 6 * time.Second}}}
	if err := f.handIn(j); err != nil {
		return err
	}
	if state := f.follow(j.id, time.Now().Add(60*time.Second)); state != "done" {
		return fmt.Errorf("job %s is still %q", j.id, state)
	}
	return nil
}
