package metrics_test

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// populatedNode returns a node's metrics after a call of each method.
func populatedNode() *metrics.Node {
	node := metrics.NewNode()
	node.RequestStarted("lm")()
	node.RequestDone("lm", port.NewError(port.NotRun, port.CodeQueueFull, "full"), time.Second)
	node.Attempt("lm")
	node.Queued("lm", 3)
	node.SampleDelivered("lm", 2)
	node.SampleDropped("lm", metrics.DropStale)
	node.TrainerWaited("lm", time.Second)
	node.CountControlBytes(func() (sent, received uint64) { return 1, 1 })
	node.CountPeerBytes(func() (sent, received uint64) { return 1, 1 })
	return node
}

// populatedControl returns a control member's metrics after a command.
func populatedControl() *metrics.Control {
	control := metrics.NewControl()
	control.CommandDone(nil, time.Second)
	return control
}

// populatedSite returns a site process's metrics after a call of each method.
func populatedSite() *metrics.Site {
	site := metrics.NewSite()
	site.RequestEnded("answered", time.Second)
	site.RunEnded("whole")
	site.ItemEnded("completed", time.Second)
	site.PageServed("follower")
	site.LoadEnded("done", time.Second)
	site.HeartbeatAccepted()
	site.HeartbeatRejected("zone")
	site.SendRefused("queue")
	site.RetryRefused()
	site.Observe(func() metrics.SiteReading { return metrics.SiteReading{Leads: true} })
	return site
}

// families returns loomgrade's own metrics of a handler as "name type labels".
func families(t *testing.T, handler http.Handler) map[string]bool {
	t.Helper()
	text := scrape(t, handler)
	found := map[string]bool{}
	for line := range strings.Lines(text) {
		var name, kind string
		if _, err := fmt.Sscanf(line, "# TYPE %s %s", &name, &kind); err == nil && strings.HasPrefix(name, "loomgrade_") {
			found[name+" "+kind+" "+labelsOf(text, name)] = true
		}
	}
	return found
}

// labelsOf returns the sorted labels of a family's first series, without the le label of
// a histogram.
func labelsOf(text, name string) string {
	for line := range strings.Lines(text) {
		series, isFirst := strings.CutPrefix(line, name)
		series = strings.TrimPrefix(series, "_bucket")
		if !isFirst || strings.HasPrefix(series, "_") {
			continue
		}
		inside, labelled := strings.CutPrefix(series, "{")
		if !labelled {
			return ""
		}
		inside, _, _ = strings.Cut(inside, "}")
		var names []string
		for pair := range strings.SplitSeq(inside, ",") {
			if label, _, _ := strings.Cut(pair, "="); label != "le" {
				names = append(names, label)
			}
		}
		return strings.Join(names, ",")
	}
	return ""
}

// documentedFamilies reads the table under a heading of the documentation.
func documentedFamilies(t *testing.T, heading string) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	for _, row := range testkit.PageRows(t, "docs/operators/metrics-and-logs.md", heading) {
		name, kind, labels := testkit.CodeSpans(row[0])[0], row[1], strings.ReplaceAll(row[2], ", ", ",")
		found[name+" "+kind+" "+labels] = true
	}
	return found
}

func TestMetricsMatchDocumentation(t *testing.T) {
	for heading, handler := range map[string]http.Handler{
		"Nodes": populatedNode().Handler(), "Control members": populatedControl().Handler(),
		"Processes of a site": populatedSite().Handler(),
	} {
		documented, served := documentedFamilies(t, heading), families(t, handler)
		if !maps.Equal(documented, served) {
			t.Errorf("%s: documented\n%v\nserved\n%v", heading, documented, served)
		}
	}
}
