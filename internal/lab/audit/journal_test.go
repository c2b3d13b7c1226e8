package audit

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

func TestReadJournal(t *testing.T) {
	const begin = `{"generations":[{"work":"1","request_id":"r1"}]}` + "\n"
	const tokens = `{"tokens":{"work":"1","version":4,"count":2}}` + "\n"
	const more = `{"tokens":{"work":"1","version":5,"count":1}}` + "\n"
	const end = `{"generations":[{"work":"1","request_id":"r1","end":"finished","spans":[{"version":4,"tokens":2}]}]}` + "\n"
	spans := []port.Span{{Version: 4, Tokens: 2}, {Version: 5, Tokens: 1}}
	cases := []struct {
		name, journal string
		want          Observations
		fails         bool
	}{
		{"work in progress", begin + tokens + more, Observations{
			Generations: []Generation{{Work: "1", RequestID: "r1", Spans: spans}},
		}, false},
		{"end replaces start", begin + tokens + end, Observations{
			Generations: []Generation{{Work: "1", RequestID: "r1", Spans: spans[:1], End: EndFinished}},
		}, false},
		{"executions and deliveries", `{"executions":[{"work":"2"}]}` + "\n" + `{"executions":[{"work":"2","end":"cut"}]}` + "\n" +
			`{"deliveries":[{"batch":3}]}` + "\n", Observations{
			Executions: []Execution{{Work: "2", End: EndCut}}, Deliveries: []Delivery{{Batch: 3}},
		}, false},
		{"incomplete last line", begin + tokens[:20], Observations{
			Generations: []Generation{{Work: "1", RequestID: "r1"}},
		}, false},
		{"corrupt line", begin[:20] + "\n" + begin, Observations{}, true},
		{"missing start", tokens, Observations{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seen, err := ReadJournal(strings.NewReader(c.journal))
			if (err != nil) != c.fails {
				t.Fatalf("error %v", err)
			}
			if err == nil && !reflect.DeepEqual(seen, c.want) {
				t.Fatalf("got %+v, want %+v", seen, c.want)
			}
		})
	}
}

// An unfinished generation of a killed engine counts with the tokens it produced.
func TestTokensOfUnfinishedWorkCount(t *testing.T) {
	o := validHistory()
	resumed := o.Generations[0]
	resumed.FirstToken, resumed.Spans = 4, resumed.Spans[1:]
	o.Generations[0].Spans, o.Generations[0].End, o.Generations[0].EndedAt = o.Generations[0].Spans[:1], "", time.Duration(0)
	o.Generations = append(o.Generations, resumed)
	if found := Check(o, defaultLimits()); len(found) > 0 {
		t.Fatalf("violations: %v", found)
	}
}
