package e2e

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
)

// rewriteSettings replaces texts in an instance's settings file at once, without sending a
// signal. The texts are pairs of an old and a new one.
func (f *fleet) rewriteSettings(instance *frontInstance, oldnew ...string) {
	f.t.Helper()
	content, err := os.ReadFile(instance.settingsPath)
	if err != nil {
		f.t.Fatal(err)
	}
	for index := 0; index < len(oldnew); index += 2 {
		if !strings.Contains(string(content), oldnew[index]) {
			f.t.Fatalf("%q is not in the settings", oldnew[index])
		}
	}
	changed := strings.NewReplacer(oldnew...).Replace(string(content))
	newPath := instance.settingsPath + ".new"
	if err := os.WriteFile(newPath, []byte(changed), 0o600); err != nil {
		f.t.Fatal(err)
	}
	if err := os.Rename(newPath, instance.settingsPath); err != nil {
		f.t.Fatal(err)
	}
}

// The store moves to another address while jobs run. The settings files change, but the instances
// get no signal. Running jobs must be done, and new jobs must be accepted and done.
func TestPlatformFollowsItsSettingsWithoutASignal(t *testing.T) {
	f := newFleet(t, 2, 2)
	const before, after = "00000000000000c1", "00000000000000c2"
	if status, _ := f.call(f.instances[0], http.MethodPost, before, "key-a", gangJob); status != http.StatusOK {
		t.Fatalf("submission: %d", status)
	}
	newServer := httptest.NewServer(f.store)
	t.Cleanup(newServer.Close)
	for _, instance := range f.instances {
		f.rewriteSettings(instance, f.storeAddr, strings.TrimPrefix(newServer.URL, "http://"),
			`"max_hold_ms":6000`, `"max_hold_ms":4000`)
	}
	f.storeServer.CloseClientConnections()
	f.storeServer.Listener.Close()
	f.waitUntil("a job accepted through the new address", func() bool {
		status, _ := f.call(f.instances[1], http.MethodPost, after, "key-a", gangJob)
		return status == http.StatusOK
	})
	for _, id := range []string{before, after} {
		f.waitUntil("done: "+id, func() bool { return f.jobState(f.instances[0], id) == "done" })
		f.checkEachTaskDoneOnce(id)
	}
	if !f.anyLogContains("adopted=\"platform.address,bounds\"") {
		t.Error("no instance logs the settings that it adopted")
	}
}

// checkEachTaskDoneOnce checks that each task of a gang job was done exactly once.
func (f *fleet) checkEachTaskDoneOnce(id string) {
	f.t.Helper()
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.1.0", ".0.1.1", ".0.1.2"} {
		done := 0
		for _, worker := range f.allIncarnations() {
			done += worker.Done(id + task)
		}
		if done != 1 {
			f.t.Errorf("task %s was done %d times", id+task, done)
		}
	}
}

// An invalid settings file must change nothing, and settings that need a restart must be logged as
// kept.
func TestPlatformReportsSettingsItCannotAdopt(t *testing.T) {
	f := newFleet(t, 1, 1)
	instance := f.instances[0]
	f.rewriteSettings(instance, `"zone":"z1"`, `"zone":"z2"`)
	f.waitUntil("a log line about the kept setting", func() bool { return f.anyLogContains("kept=zone") })
	f.rewriteSettings(instance, `{"node"`, `"node"`)
	f.waitUntil("a refusal", func() bool { return f.anyLogContains("settings_refused") })
	const id = "00000000000000d1"
	if status, _ := f.call(instance, http.MethodPost, id, "key-a", failedJob); status != http.StatusOK {
		t.Errorf("submission: %d", status)
	}
}
