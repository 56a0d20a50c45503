package batch

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/placing"
)

// leaseForHold returns the lease that a hold requests: 0, for none, while this instance may request none or
// the worker does not answer. The worker's next incarnation may receive the hold, and would grant the longest
// lease to what runs there.
func (l *link) leaseForHold(now time.Time) int64 {
	if !l.isReachable() || !l.env.leasesAllowed() {
		return 0
	}
	return l.extendLease(now)
}

func (l *link) isReachable() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.reachable
}

// extendLease returns the lease to request. The lease is not extended while the worker does not
// answer, so that the time at which everything has expired does not move, nor while this instance may request
// none.
func (l *link) extendLease(now time.Time) int64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.workerClockMS == 0 || !l.reachable || !l.env.leasesAllowed() {
		return l.leaseUntilMS
	}
	lease := l.env.bounds.leaseToRequest(now)
	l.leaseUntilMS = max(l.leaseUntilMS, l.workerClockMS+now.Sub(l.workerClockAt).Milliseconds()+lease.Milliseconds())
	// A lease requested under a longer bound is not shortened.
	if expiry := now.Add(placing.LeaseExpiry(lease)); expiry.After(l.expiry) {
		l.expiry = expiry
	}
	return l.leaseUntilMS
}

// leaseForStart returns the lease that a start carries.
func (l *link) leaseForStart(now time.Time) int64 {
	l.lock.Lock()
	remaining := l.leaseUntilMS - l.workerClockMS - now.Sub(l.workerClockAt).Milliseconds()
	until := l.leaseUntilMS
	l.lock.Unlock()
	if remaining > minStartLease.Milliseconds() {
		return until
	}
	return l.extendLease(now)
}

// extendExpiry accounts for a start sent at the given time that was not answered. A later
// incarnation of the worker may have accepted it. That one reads the lease, which is on the clock
// of the former incarnation, as the longest lease that it grants from then on. The engine accounts for it
// as well; a leader of a former version knows only the time that its delegates report.
func (l *link) extendExpiry(sent time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.entry.BornMS == 0 {
		return
	}
	if expiry := sent.Add(placing.LeaseExpiry(l.env.bounds.maxGrantedLease(sent))); expiry.After(l.expiry) {
		l.expiry = expiry
	}
}

// leaseExpiry returns the time at which the lease has expired for certain.
func (l *link) leaseExpiry() time.Time {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.expiry
}

// logLease returns a log entry about the worker and its lease: how much is left of it by the books, and
// the lease that an order requested, as time left on the worker's clock; 0 for none.
func (l *link) logLease(requestedUntilMS int64) *logrus.Entry {
	l.lock.Lock()
	defer l.lock.Unlock()
	now := l.env.clock.Now()
	requestedMS := int64(0)
	if requestedUntilMS != 0 {
		requestedMS = requestedUntilMS - l.workerClockMS - now.Sub(l.workerClockAt).Milliseconds()
	}
	return l.env.log.WithField("worker", l.entry.ID).WithField("lease_left_ms", l.expiry.Sub(now).Milliseconds()).
		WithField("lease_requested_ms", requestedMS)
}

// clockReading is a worker's clock as an answer gives it. It was read between the two times.
type clockReading struct {
	workerMS       int64 // 0 if the answer gives none
	sent, received time.Time
}

// clockTolerance covers the rounding of clocks to milliseconds.
const clockTolerance = 10 * time.Millisecond

// originOf returns which incarnation of the worker has given a clock, as the clock of each starts anew.
// The clock that the link knows was read before the answer that gave it arrived, by no more than that
// answer may have taken.
func (l *link) originOf(reading clockReading) placing.AnswerOrigin {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.entry.BornMS == 0 {
		return placing.OriginOwn
	}
	if reading.workerMS == 0 || l.workerClockMS == 0 {
		return placing.OriginUnknown
	}
	elapsed := reading.received.Sub(l.workerClockAt)
	ahead := time.Duration(reading.workerMS-l.workerClockMS)*time.Millisecond - elapsed
	behind := reading.received.Sub(reading.sent) + time.Duration(placing.ClockDrift*float64(elapsed))
	if -ahead > behind+clockTolerance || ahead > l.margin.current() {
		return placing.OriginOther
	}
	if reading.workerMS <= (elapsed + l.margin.current()).Milliseconds() {
		return placing.OriginUnknown // an incarnation that has started since would show as much
	}
	return placing.OriginOwn
}
