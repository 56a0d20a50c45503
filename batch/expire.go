package batch

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// expireJobs deletes the records of jobs whose retention has ended. Failed deletions are left to a
// later leader.
func (l *leader) expireJobs(ctx context.Context, ids []string) {
	for _, id := range ids {
		if err := l.expireJob(ctx, id); err != nil {
			l.log.WithField("job", id).WithField("error", err.Error()).Warn("records_kept")
		}
	}
}

func (l *leader) expireJob(ctx context.Context, id string) error {
	i := l.instance
	i.foldLock.Lock()
	job := i.fold.table.Job(id)
	i.foldLock.Unlock()
	if job == nil {
		return nil
	}
	if part, away := i.partAway(); away {
		return eris.Errorf("part %d is away and may hold a copy", part)
	}
	for part := range i.settings.StoreParts {
		if job.Parts&(1<<part) == 0 {
			continue
		}
		if err := l.appendTombstones(ctx, part, jobs.DeleteCallerRecords(id)); err != nil {
			return err
		}
	}
	if err := l.appendTombstones(ctx, progressPart(i.settings.StoreParts), []jobs.Record{jobs.DeleteProgressRecord(id)}); err != nil {
		return err
	}
	return l.appendTombstones(ctx, statePart, []jobs.Record{jobs.DeleteStateRecord(id)})
}

func (l *leader) appendTombstones(ctx context.Context, part int, records []jobs.Record) error {
	ctx, cancel := context.WithTimeout(ctx, maxCallTimeout)
	defer cancel()
	return l.instance.store.Append(ctx, part, records, nil)
}
