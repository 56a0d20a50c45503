package peers

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/teaselcleat/teaselcleat/hlc"
	"github.com/teaselcleat/teaselcleat/membership"
	"github.com/teaselcleat/teaselcleat/peers/peerpb"
)

const (
	waitTimeout  = 30 * time.Second // bound on every wait; no test asserts a shorter time
	pollInterval = 5 * time.Millisecond
)

func newLink(name string) *Link {
	log := logrus.New()
	log.SetOutput(io.Discard)
	handler := func(*peerpb.Envelope) *peerpb.Envelope { return nil }
	return New(name, 1, hlc.New(time.Now), handler, logrus.NewEntry(log), time.Now)
}

// serve serves a link until the returned function is called, and returns its list entry.
func serve(t *testing.T, l *Link) (membership.Member, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Serve(ctx, listener)
	return membership.Member{ID: l.self, Role: membership.RoleInstance, PeerAddress: listener.Addr().String()}, cancel
}

func waitUntil(t *testing.T, desc string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", desc)
		}
	}
}

// Guards against sessions that are cut because one list lacks an instance: it would take this one
// for gone. An instance that has ended is forgotten.
func TestIncompleteListCutsNoSession(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	first, second := newLink("first"), newLink("second")
	entry, endSecond := serve(t, second)
	first.Update(ctx, []membership.Member{entry})
	waitUntil(t, "a session", func() bool { return len(first.Connected()) == 1 })

	first.Update(ctx, nil)
	is.Equal(first.Connected(), []string{"second"})
	is.Equal(first.Broadcast(&peerpb.Envelope{}), 1)
	waitUntil(t, "a message over the session", func() bool { _, seen := second.PeerState("first"); return seen })

	endSecond()
	waitUntil(t, "the end of the session", func() bool { return len(first.Connected()) == 0 })
	first.Update(ctx, nil)
	first.mu.Lock()
	defer first.mu.Unlock()
	is.Equal(len(first.peers), 0)
}
