package batch

import "time"

// speedsPublishInterval is how often the leader publishes how much it knows of the speeds of workers.
// It counts all workers for that; operators ask by the minute.
const speedsPublishInterval = time.Second

// publishSpeeds sets the status and the metrics of what is known of the speeds of workers.
func (l *leader) publishSpeeds(now time.Time) {
	if now.Sub(l.speedsPublishedAt) < speedsPublishInterval {
		return
	}
	l.speedsPublishedAt = now
	status := l.engine.SpeedsStatus()
	l.instance.speedsStatus.Store(&status)
	l.instance.metrics.knownSpeeds.Update(int64(status.Known))
	l.instance.metrics.unknownSpeeds.Update(int64(status.Unknown))
}

// withdrawSpeeds ends what publishSpeeds shows, as this instance does not lead any more.
func (i *Instance) withdrawSpeeds() {
	i.speedsStatus.Store(nil)
	i.metrics.knownSpeeds.Update(0)
	i.metrics.unknownSpeeds.Update(0)
}
