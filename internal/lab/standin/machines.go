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

// MachineRemoved is the state that removes a machine from the list.
const MachineRemoved port.MachineState = "gone"

// MachineList simulates the machine list, whose changes become visible after a lag.
type MachineList struct {
	*server
	config MachineListConfig

	mutex    sync.Mutex
	machines map[string]port.Machine
	visible  *engine.Lagged[[]port.Machine]
}

// MachineListConfig describes a machine list.
type MachineListConfig struct {
	Common
	// Lag is the delay of changes.
	Lag time.Duration
	// Live are the addresses listed initially.
	Live []string
}

// StartMachineList starts a machine list. It runs until ctx ends or Close is called. POST
// of a port.Machine to its path sets the state of one machine.
func StartMachineList(ctx context.Context, config MachineListConfig) (*MachineList, error) {
	m := &MachineList{
		config: config, machines: map[string]port.Machine{},
		visible: engine.NewLagged[[]port.Machine](config.Lag),
	}
	m.server = newServer(ctx, config.Common, FaultCrash, FaultHang, FaultRefuse)
	m.inject = m.injectFault
	for _, address := range config.Live {
		m.machines[address] = port.Machine{Address: address, State: port.MachineLive, Since: time.Now().UnixMilli()}
	}
	m.visible.Put(unixNow()-config.Lag, m.sorted())
	m.mux.HandleFunc("GET "+api.PathMachines, m.handleList)
	m.mux.HandleFunc("POST "+api.PathMachines, m.handleSet)
	if err := m.listen(config.Listen); err != nil {
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

// Set changes the state of a machine. The list shows the change after the lag.
func (m *MachineList) Set(address string, state port.MachineState) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	before := m.machines[address].State
	m.machines[address] = port.Machine{Address: address, State: state, Since: time.Now().UnixMilli()}
	if state == MachineRemoved {
		delete(m.machines, address)
	}
	m.visible.Put(unixNow(), m.sorted())
	if state == port.MachineLeaving && before != state {
		m.recorder.add(audit.Observations{Departures: []audit.Departure{
			{BackEnd: address, SignalledAt: unixNow() + m.config.Lag},
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
	if m.applyFaults(w, r) {
		return
	}
	m.mutex.Lock()
	list, _ := m.visible.Get(unixNow())
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
