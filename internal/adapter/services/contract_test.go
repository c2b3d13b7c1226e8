package services_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/contracttest"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/adapter/services"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

const answerBytes = 4 << 10

func writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(body)
}

func newHTTP(t *testing.T) *httpcall.Client {
	client := httpcall.New(httpcall.Limits{})
	t.Cleanup(client.Close)
	return client
}

func sampleID(number int) port.SampleID {
	return port.SampleID{Pool: "lm", Epoch: 1, Sequence: uint64(number)}
}

func TestScorerKeepsContract(t *testing.T) {
	contracttest.Run(t, contracttest.Subject{
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			var question api.Score
			_ = json.NewDecoder(request.Body).Decode(&question)
			writeJSON(writer, api.Reward{SampleID: question.SampleID, Reward: float64(len(question.Text))})
		}),
		Dial: func(address string) func(context.Context, int) (string, error) {
			scorer := services.NewScorer(newHTTP(t), "http://"+address+"/", answerBytes)
			return func(ctx context.Context, number int) (string, error) {
				reward, err := scorer.Score(ctx, sampleID(number), "p", "four")
				return fmt.Sprint(reward), err
			}
		},
		Want:        func(int) string { return "4" },
		AnswerBytes: answerBytes,
	})
}

func TestPromptSourceKeepsContract(t *testing.T) {
	contracttest.Run(t, contracttest.Subject{
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			from, _ := strconv.Atoi(request.FormValue("from"))
			writeJSON(writer, api.Prompts{Prompts: []port.Prompt{{Index: port.PromptIndex(from)}, {Index: port.PromptIndex(from + 1)}}})
		}),
		Dial: func(address string) func(context.Context, int) (string, error) {
			source := services.NewPromptSource(newHTTP(t), "http://"+address, answerBytes)
			return func(ctx context.Context, number int) (string, error) {
				prompts, err := source.Prompts(ctx, port.PromptIndex(number), 2)
				return fmt.Sprint(prompts), err
			}
		},
		Want:        func(number int) string { return fmt.Sprintf("[{%d  0} {%d  0}]", number, number+1) },
		AnswerBytes: answerBytes,
	})
}

func TestMachineListKeepsContract(t *testing.T) {
	contracttest.Run(t, contracttest.Subject{
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writeJSON(writer, api.Machines{Machines: []port.Machine{{Address: "127.0.0.1:80", State: port.MachineLeaving, Since: 5}}})
		}),
		Dial: func(address string) func(context.Context, int) (string, error) {
			list := services.NewMachineList(newHTTP(t), "http://"+address, answerBytes)
			return func(ctx context.Context, _ int) (string, error) {
				machines, err := list.Machines(ctx)
				return fmt.Sprint(machines), err
			}
		},
		Want:        func(int) string { return "[{127.0.0.1:80 leaving 5}]" },
		AnswerBytes: answerBytes,
	})
}

// TestRefusesWrongContent covers answers that are well-formed and wrong.
func TestRejectsWrongContent(t *testing.T) {
	score := func(client *httpcall.Client, base string) error {
		_, err := services.NewScorer(client, base, 0).Score(context.Background(), sampleID(1), "p", "t")
		return err
	}
	prompts := func(client *httpcall.Client, base string) error {
		_, err := services.NewPromptSource(client, base, 0).Prompts(context.Background(), 5, 2)
		return err
	}
	machines := func(client *httpcall.Client, base string) error {
		_, err := services.NewMachineList(client, base, 0).Machines(context.Background())
		return err
	}
	cases := []struct {
		name, body string
		call       func(*httpcall.Client, string) error
	}{
		{"reward of another sample", `{"sample_id":"s-lm-1-2","reward":1}`, score},
		{"reward without a sample", `{"reward":1}`, score},
		{"prompts from elsewhere", `{"prompts":[{"index":6}]}`, prompts},
		{"prompts with a hole", `{"prompts":[{"index":5},{"index":7}]}`, prompts},
		{"too many prompts", `{"prompts":[{"index":5},{"index":6},{"index":7}]}`, prompts},
		{"no machine list", `{}`, machines},
		{"machine without an address", `{"machines":[{"state":"live"}]}`, machines},
		{"machine in no known state", `{"machines":[{"address":"127.0.0.1","state":"gone"}]}`, machines},
		{"machine listed twice", `{"machines":[{"address":"127.0.0.1","state":"live"},{"address":"127.0.0.1","state":"leaving"}]}`, machines},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writeJSON(writer, json.RawMessage(test.body))
			}))
			defer server.Close()
			if err := test.call(newHTTP(t), server.URL); err == nil {
				t.Error("accepted")
			}
		})
	}
}
