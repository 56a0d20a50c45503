package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/teaselcleat/teaselcleat/settings"
)

const valid = `[instance]
name = e1
region = r1
availability_zone = z1
http = 127.0.0.1:8080
peer = 127.0.0.1:8081
[platform]
address = http://127.0.0.1:9000
`

func TestMissingKeysGetDefaults(t *testing.T) {
	is := is.New(t)
	loaded, err := settings.Parse("f", []byte(valid))
	is.NoErr(err)
	is.Equal(loaded.Name, "e1")
	is.Equal(loaded.MaxInFlight, 1024)
}

func TestEveryFaultIsReportedWithSectionAndKey(t *testing.T) {
	for _, c := range []struct{ name, text, says string }{
		{"missing", strings.Replace(valid, "name = e1\n", "", 1), "[instance] name: is missing"},
		{"unknown section", valid + "[weights]\nx = 1\n", "[weights] : unknown section"},
		{"unknown key", valid + "[limits]\npriority = 1\n", "[limits] priority: unknown key"},
		{"out of range", valid + "[limits]\nin_flight = 0\n", `[limits] in_flight: "0" is not allowed; allowed: 1 to 100000`},
		{"no number", valid + "[limits]\nin_flight = many\n", `"many" is not allowed`},
		{"no duration", valid + "[timing]\nlease_ttl = 6\n", "allowed: 300ms to 5m"},
		{"no IP", strings.Replace(valid, "127.0.0.1:8080", "host:8080", 1), "[instance] http:"},
		{"twice", valid + "[instance]\nname = e2\n", "section stands twice"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse("f.ini", []byte(c.text))
			var faults *settings.FaultsError
			if !errors.As(err, &faults) || !strings.Contains(err.Error(), c.says) || !strings.HasPrefix(err.Error(), "f.ini: ") {
				t.Fatalf("error %v does not say %q", err, c.says)
			}
		})
	}
}
