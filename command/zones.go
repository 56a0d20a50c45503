package command

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/teaselcleat/teaselcleat/service"
	"github.com/teaselcleat/teaselcleat/targets"
)

const zonesUsage = "usage: teaselcleat zones list -addr ADDR | zones evacuate -addr ADDR ZONE | zones return -addr ADDR ZONE"

// runZones lists or changes the evacuated availability zones in the operators' targets.
func runZones(args []string, to output) int {
	if len(args) == 0 {
		fmt.Fprintln(to.err, zonesUsage)
		return ExitUsage
	}
	flags := newFlags("zones "+args[0], to)
	address := flags.String("addr", "", addressHelp)
	zones := 1
	switch args[0] {
	case "evacuate", "return":
	case "list":
		zones = 0
	default:
		fmt.Fprintln(to.err, zonesUsage)
		return ExitUsage
	}
	if code, ok := parse(flags, args[1:], zones, zones, to); !ok {
		return code
	}
	if args[0] == "list" {
		return listZones(*address, to)
	}
	return changeZone(*address, flags.Arg(0), args[0] == "evacuate", to)
}

func listZones(address string, to output) int {
	document, err := fetchTargets(address)
	if err != nil {
		return fail(to, "zones", err)
	}
	parsed, err := targets.Parse(document.Text)
	if err != nil {
		return fail(to, "zones", err)
	}
	for _, zone := range parsed.EvacuatedZones() {
		fmt.Fprintf(to.out, "zone=%s evacuated=true version=%d\n", zone, document.Version)
	}
	return ExitOK
}

// changeZone proposes the current targets with a change in one zone. If another operator
// changes the targets at the same time, the proposal is refused as a conflict.
func changeZone(address, zone string, evacuated bool, to output) int {
	document, err := fetchTargets(address)
	if err != nil {
		return fail(to, "zones", err)
	}
	text, err := targets.SetEvacuated(document.Text, zone, evacuated)
	if err != nil {
		return fail(to, "zones", err)
	}
	return postTargets(address, "zones", service.TargetsDocument{Version: document.Version, Text: text}, to)
}

func fetchTargets(address string) (*service.TargetsDocument, error) {
	status, answer, err := call(http.MethodGet, address, "/v1/targets", nil, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, eris.Errorf("status %d", status)
	}
	document := new(service.TargetsDocument)
	return document, eris.Wrap(json.Unmarshal(answer, document), "targets")
}
