package logstream

import (
	"context"
	"errors"
	"time"
)

// ReadAll calls visit for each record of a stream, from the oldest retained one to
// the current end.
func ReadAll(ctx context.Context, log Log, stream string, visit func(data []byte)) error {
	next := int64(0)
	for {
		batch, err := log.Read(ctx, stream, next, 0)
		var retention *RetentionError
		if errors.As(err, &retention) {
			next = retention.First
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

// Sleep waits for span and reports false if ctx ended first.
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
