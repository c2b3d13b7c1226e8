package engineclient

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/port"
)

const idR1 = `"id":"r1",`

// TestStreamDeliversWholeOrFails covers streams that are well-formed HTTP and
// wrong.
func TestStreamIsCompleteOrFails(t *testing.T) {
	const (
		first = `{` + idR1 + `"choices":[{"text":"a"}],"spans":[{"version":4,"tokens":2}]}`
		last  = `{` + idR1 + `"choices":[{"text":"b","finish_reason":"stop"}],"spans":[{"version":5,"tokens":1}],"usage":{"completion_tokens":3}}`
		done  = `[DONE]`
	)
	cases := []struct {
		name   string
		events []string
		want   string
		code   port.Code
	}{
		{"whole", []string{first, last, done}, "a 4*2, b 5*1 stop", ""},
		{"prefixed id", []string{`{"id":"cmpl-r1","choices":[{"text":"a","finish_reason":"length"}]}`, done}, "a 0*0 length", ""},
		{"usage alone", []string{first, `{` + idR1 + `"choices":[{"text":"","finish_reason":"stop"}]}`, `{` + idR1 + `"choices":[],"usage":{"completion_tokens":2}}`, done}, "a 4*2,  0*0 stop", ""},
		{"two versions in a chunk", []string{`{` + idR1 + `"choices":[{"text":"ab","finish_reason":"stop"}],"spans":[{"version":4,"tokens":1},{"version":5,"tokens":2}]}`, done}, "ab 4*1,  5*2 stop", ""},
		{"no end marker", []string{first, last}, "a 4*2", port.CodeBackEnd},
		{"end marker without a finish", []string{first, done}, "a 4*2", port.CodeBackEnd},
		{"another's chunk", []string{first, strings.Replace(last, "r1", "r2", 1), done}, "a 4*2", port.CodeBackEnd},
		{"no id", []string{`{"choices":[{"text":"a"}]}`}, "", port.CodeBackEnd},
		{"chunk after the last", []string{last, first, done}, "", port.CodeBackEnd},
		{"token lost", []string{last, done}, "", port.CodeBackEnd},
		{"token repeated", []string{first, first, last, done}, "a 4*2, a 4*2", port.CodeBackEnd},
		{"too many tokens", []string{first, first, first, first, first, done}, "a 4*2, a 4*2, a 4*2, a 4*2", port.CodeTooLarge},
		{"too much text", []string{`{` + idR1 + `"choices":[{"text":"` + strings.Repeat("x", 101) + `"}]}`}, "", port.CodeTooLarge},
		{"negative tokens", []string{`{` + idR1 + `"choices":[{"text":"a"}],"spans":[{"version":4,"tokens":-1}]}`}, "", port.CodeBackEnd},
		{"unknown finish", []string{`{` + idR1 + `"choices":[{"text":"a","finish_reason":"abort"}]}`, done}, "", port.CodeBackEnd},
		{"two choices", []string{`{` + idR1 + `"choices":[{"text":"a"},{"text":"b"}]}`}, "", port.CodeBackEnd},
		{"not JSON", []string{first, `{`}, "a 4*2", port.CodeBackEnd},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			s := &stream{
				request: port.GenerateRequest{ID: "r1", MaxTokens: 8},
				limits:  Limits{EventBytes: 4096, TextBytes: 100},
				receive: func(chunk port.GenerateChunk) error {
					got = append(got, strings.TrimSpace(fmt.Sprintf("%s %d*%d %s", chunk.Text, chunk.Version, chunk.Tokens, chunk.Finish)))
					return nil
				},
			}
			source := "data: " + strings.Join(test.events, "\n\ndata: ") + "\n\n"
			err := streamFailureOrNil(t, s, s.run(strings.NewReader(source), func() {}))
			want := strings.Split(test.want, ", ")
			for index := range want {
				want[index] = strings.TrimSpace(want[index])
			}
			if strings.Join(got, ", ") != strings.Join(want, ", ") {
				t.Errorf("got %q, want %q", got, want)
			}
			if (err == nil) != (test.code == "") {
				t.Fatalf("error %v, want code %q", err, test.code)
			}
			if err != nil && (err.Code != test.code || err.Verdict != port.MayHaveRun) {
				t.Errorf("error %v, want code %q and may-have-run", err, test.code)
			}
		})
	}
}

func streamFailureOrNil(t *testing.T, s *stream, err error) *port.Error {
	if err == nil {
		return nil
	}
	return port.AsError(streamFailure(t.Context(), s, err))
}

func TestStreamStopsWhenRefused(t *testing.T) {
	refusal := errors.New("enough")
	s := &stream{request: port.GenerateRequest{ID: "r1"}, limits: Limits{}.withDefaults(), receive: func(port.GenerateChunk) error { return refusal }}
	err := s.run(strings.NewReader("data: {"+idR1+`"choices":[{"text":"a"}]}`+"\n\n"), func() {})
	if failure := streamFailure(t.Context(), s, err); !errors.Is(failure, refusal) {
		t.Errorf("error %v, want %v", failure, refusal)
	}
}

func TestOrderEvents(t *testing.T) {
	event := func(sequence uint64) port.CacheEvent {
		return port.CacheEvent{Sequence: sequence, Block: 10 * sequence}
	}
	cases := []struct {
		name   string
		events []port.CacheEvent
		want   []port.CacheEvent
		gap    bool
	}{
		{"none", nil, nil, false},
		{"in order", []port.CacheEvent{event(6), event(7)}, []port.CacheEvent{event(6), event(7)}, false},
		{"out of order and repeated", []port.CacheEvent{event(7), event(6), event(7), event(5)}, []port.CacheEvent{event(6), event(7)}, false},
		{"gap at the start", []port.CacheEvent{event(7)}, []port.CacheEvent{event(7)}, true},
		{"gap inside", []port.CacheEvent{event(6), event(8)}, []port.CacheEvent{event(6), event(8)}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got, gap := orderEvents(test.events, 5)
			if fmt.Sprint(got) != fmt.Sprint(test.want) || gap != test.gap {
				t.Errorf("got %v, %v; want %v, %v", got, gap, test.want, test.gap)
			}
		})
	}
}
