package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal/diskfault"
)

// injector injects random faults.
type injector struct {
	site         *site
	random       *rand.Rand
	log          func(string, ...any)
	counts       map[string]int
	lastDiskLoss time.Time
	disturbances *disturbances
	// unplanned are the periods of the faults; stops, which are planned, are not among them.
	unplanned disturbances
	// series is held for writing while the site recovers from a lost disk, and for reading
	// during a series of stops.
	series *sync.RWMutex
	// resumes are the times at which processes resumed or links healed.
	mutex   sync.Mutex
	resumes []time.Time
}

// noRecentResume reports whether no process resumed and no link healed shortly before a time.
func (d *injector) noRecentResume(at time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, resume := range d.resumes {
		if since := at.Sub(resume); since > -100*time.Millisecond && since < resumeGrace {
			return false
		}
	}
	return true
}

func (d *injector) recordResume() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.resumes = append(d.resumes, time.Now())
}

func (d *injector) run(duration time.Duration) {
	d.counts = map[string]int{}
	d.lastDiskLoss = time.Now()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		start, planned := time.Now(), d.injectOne()
		d.disturbances.add(start, time.Now().Add(stabilizeTime))
		if !planned {
			d.unplanned.add(start, time.Now())
		}
		time.Sleep(time.Duration(500+d.random.IntN(3000)) * time.Millisecond)
	}
}

func (d *injector) record(fault string, m *machine, detail any) {
	d.counts[fault]++
	d.log("%s %s %s %v", time.Now().Format("15:04:05.000"), fault, m.name, detail)
}

// injectOne injects one fault on one machine and waits for its end. It reports whether the
// fault was planned work.
func (d *injector) injectOne() (planned bool) {
	m := d.site.machines[d.random.IntN(len(d.site.machines))]
	duration := time.Duration(300+d.random.IntN(4000)) * time.Millisecond
	fault := d.random.IntN(14)
	if usesProcess(fault) {
		m.fault.Lock()
		defer m.fault.Unlock()
	}
	switch fault {
	case 0, 1:
		d.record("kill", m, duration)
		m.kill()
		time.Sleep(duration)
		d.site.start(m, false)
	case 2:
		d.record("stop", m, "")
		m.stop()
		d.site.start(m, false)
		return true
	case 3, 4:
		d.record("freeze", m, duration)
		m.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		d.recordResume()
		m.signal(syscall.SIGCONT)
	case 5:
		d.cut(m, duration, d.random.IntN(3))
	case 6:
		d.record("delay", m, duration)
		d.setLinks(m, link{delay: time.Duration(20+d.random.IntN(200)) * time.Millisecond}, 2)
		time.Sleep(duration)
		d.site.network.heal()
	case 7:
		d.record("reset", m, "")
		d.site.network.reset(func(c *proxyConn) bool { return c.from == m.private || c.to == m.public })
	case 8:
		d.loseDisk(m)
	case 9:
		d.killAll(duration / 4)
	case 10, 11:
		d.injectDiskFault(m, duration)
	case 12, 13:
		d.suspend(m, duration)
	}
	return false
}

// usesProcess reports whether a fault acts on the process of a single machine. Those on links
// overlap with what happens to the process; a lost disk and a kill of all take all machines.
func usesProcess(fault int) bool { return fault < 5 || fault > 9 }

// suspend stops a process and advances the clock that includes suspended time; at random it
// repeats this right after the process resumed.
func (d *injector) suspend(m *machine, duration time.Duration) {
	for again := true; again; again = d.random.IntN(3) == 0 {
		suspended := time.Duration(d.random.IntN(12)) * time.Second
		d.record("suspend", m, suspended)
		m.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		if err := m.suspend(suspended); err != nil {
			d.log("suspend %s: %v", m.name, err)
		}
		d.recordResume()
		m.signal(syscall.SIGCONT)
		duration /= 8
	}
}

// setLinks sets the links of a machine: 0 into it, 1 out of it, 2 both.
func (d *injector) setLinks(m *machine, state link, direction int) {
	for _, other := range d.site.machines {
		if other == m {
			continue
		}
		if direction != 1 {
			d.site.network.set(other.private, m.public, state)
			d.site.network.set(other.public, m.private, state)
		}
		if direction != 0 {
			d.site.network.set(m.private, other.public, state)
			d.site.network.set(m.public, other.private, state)
		}
	}
}

func (d *injector) cut(m *machine, duration time.Duration, direction int) {
	d.record([]string{"cut into", "cut out of", "cut off"}[direction], m, duration)
	d.setLinks(m, link{cut: true}, direction)
	time.Sleep(duration)
	d.recordResume()
	d.site.network.heal()
}

// loseDisk removes or damages one machine's data while its process is down, and waits for the
// group to recover.
func (d *injector) loseDisk(m *machine) {
	if m.role == "front" || time.Since(d.lastDiskLoss) < diskLossInterval {
		return
	}
	d.series.Lock() // the site recovers undisturbed by stops
	defer d.series.Unlock()
	d.recoverAll()
	time.Sleep(recoveryTime / 2)
	m.kill()
	if d.random.IntN(2) == 0 {
		d.record("lost disk", m, "")
		_ = os.RemoveAll(m.dataPath())
	} else {
		d.record("damaged disk", m, damage(m.dataPath()))
	}
	d.site.start(m, false)
	d.lastDiskLoss = time.Now()
	time.Sleep(recoveryTime)
}

// injectDiskFault makes one machine's disk stall, be slow or reject writes temporarily. It
// restarts a process that ends because of the fault, as the platform does, also during the
// fault.
func (d *injector) injectDiskFault(m *machine, duration time.Duration) {
	if m.role == "front" {
		return
	}
	mode := []diskfault.Mode{diskfault.Stall, diskfault.Slow, diskfault.Refuse}[d.random.IntN(3)]
	d.record("disk "+string(mode), m, duration)
	m.ignoreFailures(func() {
		d.setDisk(m, mode)
		const steps = 4
		for range steps {
			time.Sleep(duration / steps)
			if !m.running() {
				d.site.start(m, false)
			}
		}
		d.setDisk(m, "")
		time.Sleep(diskFailureTime)
	})
	if !m.running() {
		d.site.start(m, false)
	}
}

func (d *injector) setDisk(m *machine, mode diskfault.Mode) {
	if err := m.setDisk(mode); err != nil {
		d.site.t.Error(err)
	}
}

// damage flips a byte in the middle of the largest file below a folder.
func damage(folder string) string {
	largest, size := "", int64(0)
	_ = filepath.WalkDir(folder, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		if info, err := entry.Info(); err == nil && info.Size() > size {
			largest, size = path, info.Size()
		}
		return nil
	})
	content, err := os.ReadFile(largest)
	if err != nil || size == 0 {
		return "nothing to damage"
	}
	content[size/2] ^= 0xff
	_ = os.WriteFile(largest, content, 0o600)
	return fmt.Sprintf("%s at %d", filepath.Base(largest), size/2)
}

func (d *injector) killAll(duration time.Duration) {
	d.record("kill all", d.site.machines[0], duration)
	for _, m := range d.site.machines {
		m.fault.Lock()
		defer m.fault.Unlock()
	}
	for _, m := range d.site.machines {
		m.kill()
	}
	time.Sleep(duration)
	for _, m := range d.site.machines {
		d.site.start(m, false)
	}
	time.Sleep(stabilizeTime)
}

// recoverAll ends the link faults and starts the stopped processes.
func (d *injector) recoverAll() {
	d.site.network.heal()
	for _, m := range d.site.machines {
		if !m.running() {
			d.site.start(m, false)
		}
	}
}
