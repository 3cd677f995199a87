package dump

import (
	"fmt"

	"poplarworks/core/entrystate"
	"poplarworks/core/memberstate"
)

const bufferAlarmShare = 0.9 // share of a memory quota above which new requests will soon be refused

// alarms lists the conditions that need attention. docs/OPERATING.md explains each.
func (d *Dumper) alarms() []string {
	alarms := []string{}
	add := func(format string, args ...any) { alarms = append(alarms, fmt.Sprintf(format, args...)) }
	if d.State() == entrystate.Starting {
		add("no-records: no source of records has answered yet")
	}
	if d.StoreDown() {
		add("store-down: the table service does not answer")
	}
	if n := d.Quarantine(); n > 0 {
		add("crashing-requests: %d requests have crashed targets lately", n)
	}
	if float64(d.BufferedBytes()) > bufferAlarmShare*float64(d.Settings.MaxBufferedBytes) {
		add("buffers-full: held bodies take nearly all of max-buffered-bytes")
	}
	if float64(d.TransferBytes()) > bufferAlarmShare*float64(d.Settings.MaxTransferBytes) {
		add("transfers-full: requests in progress take nearly all of max-transfer-bytes")
	}
	for _, m := range d.Members() {
		if m.Listed && m.State != memberstate.Alive {
			add("peer-silent: %s is listed and %s", m.Name, m.State)
		}
	}
	for _, s := range d.Services() {
		if s.Ejected > 0 {
			add("targets-ejected: service %s has ejected %d of %d targets", s.Name, s.Ejected, len(s.Targets))
		}
		if s.Standing[0] {
			add("queue-standing: short requests of service %s wait", s.Name)
		}
	}
	return alarms
}
