package batch

import (
	"context"

	"github.com/teaselcleat/teaselcleat/jobs"
)

// expire drops the records of jobs whose time of being known is over. What
// fails is left for a later holder of the term.
func (l *leader) expire(ctx context.Context, ids []string) {
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
	for part := range i.settings.StoreParts {
		if job.Parts&(1<<part) == 0 {
			continue
		}
		if err := l.drop(ctx, part, jobs.ForgetCallRecords(id)); err != nil {
			return err
		}
	}
	if err := l.drop(ctx, detailPart(i.settings.StoreParts), []jobs.Record{jobs.ForgetProgressRecord(id)}); err != nil {
		return err
	}
	return l.drop(ctx, statePart, []jobs.Record{jobs.ForgetStateRecord(id)})
}

func (l *leader) drop(ctx context.Context, part int, records []jobs.Record) error {
	ctx, cancel := context.WithTimeout(ctx, patienceMost)
	defer cancel()
	return l.instance.store.Append(ctx, part, records, nil)
}
