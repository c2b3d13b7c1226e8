package standin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// MachineGone removes a machine from the list when it is set as its state.
const MachineRemoved port.MachineState = "gone"

// MachineList stands in for the list of machines, which shows changes late.
type MachineList struct {
	*server
	config MachineListConfig

	mutex    sync.Mutex
	machines map[string]port.Machine
	shown    *engine.Lagged[[]port.Machine]
}

// MachineListConfig describes a machine list.
type MachineListConfig struct {
	Common
	// Lag is how late changes show.
	Lag time.Duration
	// Live are the addresses that are listed from the start.
	Live []string
}

// StartMachineList starts a machine list. It runs until ctx ends or Close is
// called. POST of a port.Machine to its path sets one machine's state.
func StartMachineList(ctx context.Context, config MachineListConfig) (*MachineList, error) {
	m := &MachineList{
		config: config, machines: map[string]port.Machine{},
		shown: engine.NewLagged[[]port.Machine](config.Lag),
	}
	m.server = newServer(ctx, config.Common, FaultCrash, FaultHang, FaultRefuse)
	m.inject = m.injectFault
	for _, address := range config.Live {
		m.machines[address] = port.Machine{Address: address, State: port.MachineLive, Since: time.Now().UnixMilli()}
	}
	m.shown.Put(since()-config.Lag, m.sorted())
	m.mux.HandleFunc("GET "+api.PathMachines, m.handleList)
	m.mux.HandleFunc("POST "+api.PathMachines, m.handleSet)
	if err := m.open(config.Listen); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *MachineList) injectFault(fault Fault) error {
	if fault.Kind == FaultCrash {
		m.crash(fault.Duration(), func() {}, func() {})
		return nil
	}
	return m.faults.set(fault)
}

// Set changes a machine's state; the list shows it after the lag.
func (m *MachineList) Set(address string, state port.MachineState) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	before := m.machines[address].State
	m.machines[address] = port.Machine{Address: address, State: state, Since: time.Now().UnixMilli()}
	if state == MachineRemoved {
		delete(m.machines, address)
	}
	m.shown.Put(since(), m.sorted())
	if state == port.MachineLeaving && before != state {
		m.recorder.add(audit.Observations{Departures: []audit.Departure{
			{BackEnd: address, SignalledAt: since() + m.config.Lag},
		}})
	}
}

func (m *MachineList) sorted() []port.Machine {
	list := make([]port.Machine, 0, len(m.machines))
	for _, machine := range m.machines {
		list = append(list, machine)
	}
	slices.SortFunc(list, func(a, b port.Machine) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

func (m *MachineList) handleList(w http.ResponseWriter, r *http.Request) {
	if m.disturbed(w, r) {
		return
	}
	m.mutex.Lock()
	list, _ := m.shown.Get(since())
	m.mutex.Unlock()
	writeJSON(w, api.Machines{Machines: list})
}

func (m *MachineList) handleSet(w http.ResponseWriter, r *http.Request) {
	var machine port.Machine
	if !readJSON(w, r, &machine) {
		return
	}
	m.Set(machine.Address, machine.State)
	w.WriteHeader(http.StatusNoContent)
}
