package services

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// DefaultAnswerBytes is the default limit on a response.
const DefaultAnswerBytes = 8 << 20

// service is a base URL with the limit on its responses.
type service struct {
	http        *httpcall.Client
	base        string
	answerBytes int64
}

func newService(client *httpcall.Client, base string, answerBytes int64) service {
	if answerBytes <= 0 {
		answerBytes = DefaultAnswerBytes
	}
	return service{http: client, base: strings.TrimSuffix(base, "/"), answerBytes: answerBytes}
}

// Scorer is the client of a scoring service.
type Scorer struct{ service }

// PromptSource is the client of a prompt source.
type PromptSource struct{ service }

// MachineList is the client of a machine list.
type MachineList struct{ service }

var (
	_ port.Scorer       = (*Scorer)(nil)
	_ port.PromptSource = (*PromptSource)(nil)
	_ port.MachineList  = (*MachineList)(nil)
)

// NewScorer returns a client of the scorer at a base URL. A response longer than
// answerBytes is an error; 0 means DefaultAnswerBytes.
func NewScorer(client *httpcall.Client, base string, answerBytes int64) *Scorer {
	return &Scorer{newService(client, base, answerBytes)}
}

// NewPromptSource returns a client of the prompt source at a base URL; see NewScorer for
// answerBytes.
func NewPromptSource(client *httpcall.Client, base string, answerBytes int64) *PromptSource {
	return &PromptSource{newService(client, base, answerBytes)}
}

// NewMachineList returns a client of the machine list at a base URL; see NewScorer for
// answerBytes.
func NewMachineList(client *httpcall.Client, base string, answerBytes int64) *MachineList {
	return &MachineList{newService(client, base, answerBytes)}
}

// Score returns a sample's reward. A response for another sample is an error.
func (s *Scorer) Score(ctx context.Context, sample port.SampleID, prompt, text string) (reward float64, err error) {
	id := sample.String()
	request := api.Score{SampleID: id, Prompt: prompt, Text: text}
	var answer api.Reward
	if err := s.http.JSON(ctx, http.MethodPost, s.base+api.PathScore, id, request, &answer, s.answerBytes); err != nil {
		return 0, err
	}
	if answer.SampleID != id {
		return 0, httpcall.Malformed("reward is for sample %q, asked for %q", answer.SampleID, id)
	}
	return answer.Reward, nil
}

// Prompts returns up to count prompts that start at an index. Prompts that are not
// consecutive are an error; fewer than count are not.
func (p *PromptSource) Prompts(ctx context.Context, from port.PromptIndex, count int) ([]port.Prompt, error) {
	query := url.Values{"from": {strconv.FormatUint(uint64(from), 10)}, "count": {strconv.Itoa(count)}}
	var answer api.Prompts
	target := p.base + api.PathPrompts + "?" + query.Encode()
	if err := p.http.JSON(ctx, http.MethodGet, target, "", nil, &answer, p.answerBytes); err != nil {
		return nil, err
	}
	if len(answer.Prompts) > count {
		return nil, httpcall.Malformed("%d prompts, asked for %d", len(answer.Prompts), count)
	}
	for offset, prompt := range answer.Prompts {
		if want := from + port.PromptIndex(offset); prompt.Index != want {
			return nil, httpcall.Malformed("prompt %d where %d belongs", prompt.Index, want)
		}
	}
	return answer.Prompts, nil
}

// Machines returns the machines. A malformed or repeated entry rejects the complete list, so
// that a damaged list is never read as the removal of machines.
func (m *MachineList) Machines(ctx context.Context) ([]port.Machine, error) {
	var answer api.Machines
	if err := m.http.JSON(ctx, http.MethodGet, m.base+api.PathMachines, "", nil, &answer, m.answerBytes); err != nil {
		return nil, err
	}
	if answer.Machines == nil {
		return nil, httpcall.Malformed("no field machines")
	}
	seen := make(map[string]bool, len(answer.Machines))
	for _, machine := range answer.Machines {
		if err := checkMachine(machine); err != nil {
			return nil, err
		}
		if seen[machine.Address] {
			return nil, httpcall.Malformed("machine %q is listed twice", machine.Address)
		}
		seen[machine.Address] = true
	}
	return answer.Machines, nil
}

func checkMachine(machine port.Machine) error {
	_, errPort := netip.ParseAddrPort(machine.Address)
	_, errAddress := netip.ParseAddr(machine.Address)
	if errPort != nil && errAddress != nil {
		return httpcall.Malformed("machine address %q is no IP or IP:port", machine.Address)
	}
	if machine.State != port.MachineLive && machine.State != port.MachineLeaving {
		return httpcall.Malformed("machine state %q", machine.State)
	}
	return nil
}
