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

// crashSome crashes workers, chosen at random, for a while.
func (f *fleet) crashSome(random *rand.Rand, count int, down time.Duration) {
	for _, index := range random.Perm(len(f.world.workers))[:count] {
		k := f.world.workers[index]
		k.crash()
		time.AfterFunc(down, k.restart)
	}
}

// Bounds of the disruption "runners crash".
const (
	crashWorkers  = 6 // of 48, a share of 0.125
	crashDuration = 4500 * time.Millisecond
	crashInterval = 9 * time.Second
	crashCount    = 5
)

// playLostWorkers has workers crash at random, some at a time, while a gang of the users' largest kind
// runs. Its tasks are sound: none of them ever ends as failed.
func playLostWorkers(f *fleet, trouble bool, seed uint64) error {
	const workers = 48
	random := newRandom(seed)
	if err := startDeployment(f, 6, workers, 8); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	j := &job{id: newID(random), maxAttempts: 3, Spec: "wear",
		Steps: []step{{Count: 30, CPU: 26000, MemMB: 110000, GPU: 8, EstRuntimeMS: 10000, Gang: true, work: 10500 * time.Millisecond}}}
	if err := f.handIn(j); err != nil {
		return err
	}
	stop := time.Now().Add(crashCount*crashInterval + 30*time.Second)
	go func() {
		for round := 0; trouble && round < crashCount; round++ {
			time.Sleep(crashInterval / 2)
			f.crashSome(random, crashWorkers, crashDuration)
			time.Sleep(crashInterval / 2)
		}
	}()
	state := f.follow(j.id, stop)
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	most := 0
	for _, count := range j.lostRuns {
		most = max(most, count)
	}
	if state == "failed" && len(j.failedEnds) == 0 && most < j.maxAttempts {
		f.world.broken("LOST the job %s is shown as failed; no run of it has ended as failed, nobody has cancelled it, and no task of it lost its worker more than %d times (max_attempts is %d)", j.id, most, j.maxAttempts)
		return nil
	}
	if state != "done" {
		return fmt.Errorf("job %s is still %q", j.id, state)
	}
	return nil
}

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
	j := &job{id: newID(random), maxAttempts: 3, Spec: "recon",
		Steps: []step{{Count: rackSize, CPU: 5600, MemMB: 16000, GPU: 1, EstRuntimeMS: 6000, DataRack: f.world.workers[0].rack, AntiAffinity: 1, work: 6 * time.Second}}}
	if err := f.handIn(j); err != nil {
		return err
	}
	if state := f.follow(j.id, time.Now().Add(60*time.Second)); state != "done" {
		return fmt.Errorf("job %s is still %q", j.id, state)
	}
	return nil
}
