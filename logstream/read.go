package logstream

import (
	"context"
	"errors"
	"time"
)

// ReadAll calls visit for each record that a stream now holds, from the oldest
// that is kept to its end.
func ReadAll(ctx context.Context, log Log, stream string, visit func(data []byte)) error {
	next := int64(0)
	for {
		batch, err := log.Read(ctx, stream, next, 0)
		var gone *RetentionError
		if errors.As(err, &gone) {
			next = gone.First
			continue
		}
		if err != nil {
			return err
		}
		for _, data := range batch.Records {
			visit(data)
		}
		next = batch.First + int64(len(batch.Records))
		if next >= batch.End || len(batch.Records) == 0 {
			return nil
		}
	}
}

// Sleep waits and reports false if ctx ended first.
func Sleep(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
