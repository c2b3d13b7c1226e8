package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal/diskfault"
	"github.com/loomgrade/loomgrade/test/sitestandin"
)

var (
	soakTime = flag.Duration("soak", 0, "how long to draw faults; 0 runs the site for a moment without any")
	soakSeed = flag.Uint64("seed", 0, "seed of the faults; 0 draws one")
)

const (
	patience  = 60 * time.Second
	calmTime  = 4 * time.Second
	wholeTime = 10 * time.Second
	// diskPause is how long the stores or controls have to make a lost disk
	// good before the next one may be lost.
	diskPause = 15 * time.Second
	// restartTime is how long a process has to notice that its disk failed.
	restartTime = 500 * time.Millisecond
)

// regressions are seeds that failed once, with their causes. Their faults are
// drawn again by `-soak`, before the fresh seed.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// TestRealProcesses starts a site's programs and sends traffic without faults.
func TestRealProcesses(t *testing.T) {
	runSoak(t, 0, 0)
}

// TestSoak draws faults for the time given.
func TestSoak(t *testing.T) {
	if *soakTime == 0 {
		t.Skip("a soak has no fixed outcome; run it with -soak")
	}
	for _, regression := range regressions {
		t.Run(fmt.Sprint(regression.seed), func(t *testing.T) { runSoak(t, regression.seed, *soakTime) })
	}
	seed := *soakSeed
	if seed == 0 {
		seed = rand.Uint64()>>1 | 1
	}
	t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed, *soakTime) })
}

func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("in %v not come: %s", patience, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func runSoak(t *testing.T, seed uint64, length time.Duration) {
	build(t)
	s := newSite(t, 3, 4, 2)
	if length > 0 {
		t.Logf("seed %d", seed)
	}
	for _, m := range s.machines {
		s.start(m, true)
	}
	tr := newTraffic(s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var tasks sync.WaitGroup
	spawn := func(task func()) {
		tasks.Add(1)
		go func() { defer tasks.Done(); task() }()
	}
	spawn(func() { tr.operate(ctx) })
	for _, replica := range tr.replicas {
		spawn(func() { tr.beat(ctx, replica) })
	}
	until(t, "fronts are ready", func() bool {
		for _, front := range s.of("front") {
			if !s.ready(front) {
				return false
			}
		}
		return true
	})
	until(t, "a call is served", func() bool {
		status, _, _ := tr.do(ctx, http.MethodPost, tr.front()+"/plain/x", http.Header{sitestandin.Headers.RequestID: {"call-first"}}, nil)
		return status == http.StatusOK
	})
	working, stopWork := context.WithCancel(ctx)
	for i := range 3 {
		spawn(func() { tr.call(working, fmt.Sprint(i)) })
	}
	followers, stopFollowers := context.WithCancel(ctx)
	spawn(func() { tr.handIn(working, followers) })
	d := &drawer{site: s, random: rand.New(rand.NewPCG(seed, 1)), log: t.Logf}
	d.run(length)
	time.Sleep(calmTime)
	stopWork()
	d.makeWhole()
	tr.finish(t, ctx)
	stopFollowers()
	if length == 0 {
		tr.book.jobs["job-by-command"] = &jobBook{id: "job-by-command", items: []string{"command-0"}}
		s.askByCommand(t)
	}
	cancel()
	tasks.Wait()
	tr.judge(t, d)
}

// askByCommand asks the running site by the operators' commands.
func (s *site) askByCommand(t *testing.T) {
	t.Helper()
	peers := fmt.Sprintf("%s:%d", s.of("control")[1].public, s.ports.peer)
	ask := func(arguments ...string) (string, error) {
		output, err := exec.Command(program, append(arguments, "--peer", peers, "--output", "json")...).CombinedOutput()
		return string(output), err
	}
	file := filepath.Join(t.TempDir(), "job.json")
	content := fmt.Sprintf(`{"job":"job-by-command","host":"%s","path":"/jobs/submit","model":"%s","items":[
		{"id":"command-0","path":"/jobs/run/command-0","scorer":{"id":"score-command-0","host":"%s","path":"/plain/score"}}]}`, host, model, host)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, row := range []struct {
		arguments []string
		want      string
	}{
		{[]string{"job", "submit", file}, `"before": false`},
		{[]string{"job", "submit", file}, `"before": true`},
		{[]string{"job", "list"}, `"ID": "job-0"`},
		{[]string{"job", "results", "job-0"}, `"Total": 6`},
		{[]string{"job", "end", "job-0"}, `"job": "job-0"`},
		{[]string{"store", "status"}, `"state": "active"`},
		{[]string{"store", "evacuate", "store-3"}, `"name": "store-3"`},
	} {
		if output, err := ask(row.arguments...); err != nil || !strings.Contains(output, row.want) {
			t.Errorf("%v: %v, %s", row.arguments, err, output)
		}
	}
	for _, arguments := range [][]string{{"job", "results", "no-such-job"}, {"job", "end", "no-such-job"}, {"store", "evacuate", "nobody"}} {
		var exit *exec.ExitError
		if output, err := ask(arguments...); !errors.As(err, &exit) || exit.ExitCode() != 5 {
			t.Errorf("%v: %v, %s", arguments, err, output)
		}
	}
}

// handIn hands jobs in while work goes on; their clients go on reading.
func (tr *traffic) handIn(working, followers context.Context) {
	for i := 0; pause(working, jobPause); i++ {
		job := &jobBook{id: fmt.Sprint("job-", i)}
		for item := range itemsOfAJob {
			job.items = append(job.items, fmt.Sprintf("item-%d-%d", i, item))
		}
		tr.book.mutex.Lock()
		tr.book.jobs[job.id] = job
		tr.book.mutex.Unlock()
		go tr.follow(followers, job, i%3 == 2)
	}
}

// finish waits until all jobs are read, and reads the configuration back.
func (tr *traffic) finish(t *testing.T, ctx context.Context) {
	until(t, "every job that was not ended has all its results", func() bool {
		tr.book.mutex.Lock()
		defer tr.book.mutex.Unlock()
		for _, job := range tr.book.jobs {
			if job.ended.IsZero() && len(job.results) < len(job.items) {
				return false
			}
		}
		return true
	})
	until(t, "the configuration is read back", func() bool { return tr.readBack(ctx) })
}

// judge checks what was seen against the promises.
func (tr *traffic) judge(t *testing.T, d *drawer) {
	var arrivals []sitestandin.Arrival
	for _, replica := range tr.replicas {
		arrivals = append(arrivals, replica.Arrivals()...)
		tr.book.checkOrders(replica.ID, replica.Orders(), d.quietAt)
	}
	tr.book.checkArrivals(arrivals, d.quietAt)
	for _, m := range tr.site.machines {
		if failures := m.failures(); len(failures) > 0 {
			t.Errorf("%s failed %d times, first: %s", m.name, len(failures), failures[0])
		}
	}
	for _, fault := range tr.book.faults {
		t.Error(fault)
	}
	if tr.book.counts["call 200"] == 0 || tr.book.counts["jobs accepted"] == 0 || tr.book.counts["configurations"] == 0 {
		t.Errorf("too little was served: %v", tr.book.counts)
	}
	t.Logf("%d arrivals, %v, faults %v", len(arrivals), tr.book.counts, d.drawn)
}

// drawer draws faults.
type drawer struct {
	site     *site
	random   *rand.Rand
	log      func(string, ...any)
	drawn    map[string]int
	lastDisk time.Time
	// thaws are the times at which processes were continued or links healed.
	mutex sync.Mutex
	thaws []time.Time
}

// thawTime is how long after a machine is continued, or a link healed, what it
// sends does not count: it may have been on its way.
const thawTime = time.Second

// quietAt reports whether no machine had just come back at a time.
func (d *drawer) quietAt(at time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, thaw := range d.thaws {
		if since := at.Sub(thaw); since > -100*time.Millisecond && since < thawTime {
			return false
		}
	}
	return true
}

func (d *drawer) thawed() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.thaws = append(d.thaws, time.Now())
}

func (d *drawer) run(length time.Duration) {
	d.drawn = map[string]int{}
	d.lastDisk = time.Now()
	for end := time.Now().Add(length); time.Now().Before(end); {
		d.draw()
		time.Sleep(time.Duration(500+d.random.IntN(3000)) * time.Millisecond)
	}
}

func (d *drawer) note(fault string, m *machine, detail any) {
	d.drawn[fault]++
	d.log("%s %s %s %v", time.Now().Format("15:04:05.000"), fault, m.name, detail)
}

// draw draws one fault on one machine and, but for lasting ones, ends it.
func (d *drawer) draw() {
	m := d.site.machines[d.random.IntN(len(d.site.machines))]
	spell := time.Duration(300+d.random.IntN(4000)) * time.Millisecond
	switch d.random.IntN(14) {
	case 0, 1:
		d.note("kill", m, spell)
		m.kill()
		time.Sleep(spell)
		d.site.start(m, false)
	case 2:
		d.note("stop", m, "")
		m.stop()
		d.site.start(m, false)
	case 3, 4:
		d.note("freeze", m, spell)
		m.signal(syscall.SIGSTOP)
		time.Sleep(spell)
		d.thawed()
		m.signal(syscall.SIGCONT)
	case 5:
		d.cut(m, spell, d.random.IntN(3))
	case 6:
		d.note("delay", m, spell)
		d.links(m, link{delay: time.Duration(20+d.random.IntN(200)) * time.Millisecond}, 2)
		time.Sleep(spell)
		d.site.network.heal()
	case 7:
		d.note("reset", m, "")
		d.site.network.reset(func(c *proxied) bool { return c.from == m.private || c.to == m.public })
	case 8:
		d.loseDisk(m)
	case 9:
		d.killAll(spell / 4)
	case 10, 11:
		d.disturbDisk(m, spell)
	case 12, 13:
		d.suspend(m, spell)
	}
}

// suspend stops a process, as a freeze does, and lets more time pass by the clock that counts
// suspended time; once more right after it has woken up in some cases.
func (d *drawer) suspend(m *machine, spell time.Duration) {
	for again := true; again; again = d.random.IntN(3) == 0 {
		slept := time.Duration(d.random.IntN(12)) * time.Second
		d.note("suspend", m, slept)
		m.signal(syscall.SIGSTOP)
		time.Sleep(spell)
		if err := m.suspend(slept); err != nil {
			d.log("suspend %s: %v", m.name, err)
		}
		d.thawed()
		m.signal(syscall.SIGCONT)
		spell /= 8
	}
}

// links sets the links of a machine: 0 into it, 1 out of it, 2 both.
func (d *drawer) links(m *machine, state link, direction int) {
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

func (d *drawer) cut(m *machine, spell time.Duration, direction int) {
	d.note([]string{"cut into", "cut out of", "cut off"}[direction], m, spell)
	d.links(m, link{cut: true}, direction)
	time.Sleep(spell)
	d.thawed()
	d.site.network.heal()
}

// loseDisk empties or damages one machine's disk while its process is down. The
// next one is lost only after the group has had time to make it good.
func (d *drawer) loseDisk(m *machine) {
	if m.role == "front" || time.Since(d.lastDisk) < diskPause {
		return
	}
	d.makeWhole()
	time.Sleep(wholeTime / 2)
	m.kill()
	if d.random.IntN(2) == 0 {
		d.note("lost disk", m, "")
		_ = os.RemoveAll(m.dataPath())
	} else {
		d.note("damaged disk", m, damage(m.dataPath()))
	}
	d.site.start(m, false)
	d.lastDisk = time.Now()
	time.Sleep(wholeTime)
}

// disturbDisk lets one machine's disk stall, be slow or refuse writes for a spell.
// A process that ends by it is started again, as the platform does, also while
// the disk still misbehaves.
func (d *drawer) disturbDisk(m *machine, spell time.Duration) {
	if m.role == "front" {
		return
	}
	mode := []diskfault.Mode{diskfault.Stall, diskfault.Slow, diskfault.Refuse}[d.random.IntN(3)]
	d.note("disk "+string(mode), m, spell)
	m.excuse(func() {
		d.setDisk(m, mode)
		const steps = 4
		for range steps {
			time.Sleep(spell / steps)
			if !m.running() {
				d.site.start(m, false)
			}
		}
		d.setDisk(m, "")
		time.Sleep(restartTime)
	})
	if !m.running() {
		d.site.start(m, false)
	}
}

func (d *drawer) setDisk(m *machine, mode diskfault.Mode) {
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

func (d *drawer) killAll(spell time.Duration) {
	d.note("kill all", d.site.machines[0], spell)
	for _, m := range d.site.machines {
		m.kill()
	}
	time.Sleep(spell)
	for _, m := range d.site.machines {
		d.site.start(m, false)
	}
	time.Sleep(calmTime)
}

// makeWhole ends all faults and starts what is down.
func (d *drawer) makeWhole() {
	d.site.network.heal()
	for _, m := range d.site.machines {
		if !m.running() {
			d.site.start(m, false)
		}
	}
}

// TestPlannedStopFinishesWhatIsInFlight: a front that is told to stop answers a
// request that takes longer than its notice to callers, before it ends. (Found by
// a day of 85 machines: the end of the listener ended the drain.)
func TestPlannedStopFinishesWhatIsInFlight(t *testing.T) {
	build(t)
	s := newSite(t, 3, 0, 1)
	for _, m := range s.machines {
		s.start(m, true)
	}
	tr := newTraffic(s)
	begun := make(chan struct{})
	slow := tr.replicas[0]
	slow.Behave = func(w http.ResponseWriter, r *http.Request) bool {
		close(begun)
		select {
		case <-time.After(4 * time.Second):
		case <-r.Context().Done():
		}
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go tr.operate(ctx)
	go tr.beat(ctx, slow)
	front := s.of("front")[0]
	until(t, "the front is ready", func() bool { return s.ready(front) })
	answered := make(chan string, 1)
	go func() {
		status, body := http.StatusServiceUnavailable, ""
		for status == http.StatusServiceUnavailable { // the replica may not be known yet
			status, body, _ = tr.do(ctx, http.MethodPost, tr.front()+"/once/x", http.Header{sitestandin.Headers.RequestID: {"once-slow"}}, nil)
		}
		answered <- fmt.Sprint(status, " ", body)
	}()
	<-begun
	front.stop()
	if got, want := <-answered, fmt.Sprint(http.StatusOK, " ", sitestandin.Answer(slow.ID, "once-slow")); got != want {
		t.Errorf("answer %q, want %q", got, want)
	}
}
