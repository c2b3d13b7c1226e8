package jobstate

import "github.com/fxamacker/cbor/v2"

// Command is one entry of the store log; one field is set.
type Command struct {
	Accept *Submission `cbor:"1,keyasint,omitempty"`
	End    *End        `cbor:"2,keyasint,omitempty"`
	Record *Record     `cbor:"3,keyasint,omitempty"`
	Forget *Forget     `cbor:"4,keyasint,omitempty"`
}

// Encode gives a command's bytes in the log.
func (c Command) Encode() ([]byte, error) { return cbor.Marshal(c) }

// Submission is a job as its client sent it.
type Submission struct {
	ID string `cbor:"1,keyasint"`
	// Host is what the items' requests are sent with.
	Host string `cbor:"2,keyasint"`
	// Path is where the job was sent; its route bounds attempts and time.
	Path  string `cbor:"3,keyasint"`
	Model string `cbor:"4,keyasint,omitempty"`
	// MinVersion is the oldest weight version that may make text.
	MinVersion uint64 `cbor:"5,keyasint,omitempty"`
	// Desired is how many whole groups the client waits for.
	Desired int    `cbor:"6,keyasint,omitempty"`
	Step    uint64 `cbor:"7,keyasint,omitempty"`
	// OneVersion wants every text made by a single version.
	OneVersion bool   `cbor:"8,keyasint,omitempty"`
	Items      []Item `cbor:"9,keyasint"`
	// Tenant is who handed the job in; empty where no tenants are configured.
	Tenant string `cbor:"10,keyasint,omitempty"`
}

// Access bounds a call to the jobs of one tenant. A nil Access reaches all: it is that of
// operators, and of every caller where no tenants are configured.
type Access struct {
	Tenant string `cbor:"1,keyasint"`
}

// Reaches reports whether the call may see and end a job. One that was handed in before
// tenants were configured is open to all of them.
func (a *Access) Reaches(job *Job) bool {
	return a == nil || job.Submission.Tenant == "" || job.Submission.Tenant == a.Tenant
}

// Item is one request of a job.
type Item struct {
	ID      string   `cbor:"1,keyasint"`
	Path    string   `cbor:"2,keyasint"`
	Headers []Header `cbor:"3,keyasint,omitempty"`
	Body    []byte   `cbor:"4,keyasint,omitempty"`
	// Tokens is the prompt's and the most that come out, summed.
	Tokens int `cbor:"5,keyasint,omitempty"`
	// Group names the items that share a prompt.
	Group  string  `cbor:"6,keyasint,omitempty"`
	Scorer *Scorer `cbor:"7,keyasint,omitempty"`
	// Expected is how many tokens its client expects to come out, which is often
	// far off; 0 if it does not say.
	Expected int `cbor:"8,keyasint,omitempty"`
}

// ExpectedLength gives the length that the client expects of the item's text, 0 if
// it does not say. It is at most what the item may have at all.
func (i *Item) ExpectedLength() int {
	if i.Tokens <= 0 {
		return i.Expected
	}
	return min(i.Expected, i.Tokens)
}

// Header is one header of an item's request.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Scorer is the request that scores an item's whole text.
type Scorer struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint,omitempty"`
}

// End ends a job: nothing of it runs any more.
type End struct {
	ID string `cbor:"1,keyasint"`
}

// Record is what became of items since the last one.
type Record struct {
	Items []ItemRecord `cbor:"1,keyasint"`
}

// ItemRecord is what became of one item.
type ItemRecord struct {
	Job  string `cbor:"1,keyasint"`
	Item int    `cbor:"2,keyasint"`
	// Events is how many events the item had before Text; the record's text
	// counts only if that holds.
	Events int `cbor:"3,keyasint,omitempty"`
	// Reset drops the text that is held: it starts over. Events is then 0.
	Reset bool `cbor:"4,keyasint,omitempty"`
	// Text is the data of further events.
	Text []string `cbor:"5,keyasint,omitempty"`
	// LastEvent is the id of the last of them.
	LastEvent string `cbor:"6,keyasint,omitempty"`
	// Versions made them.
	Versions []uint64 `cbor:"7,keyasint,omitempty"`
	// Whole is set once the text is whole.
	Whole bool `cbor:"8,keyasint,omitempty"`
	// Failures and ScorerFailures are added to the counts.
	Failures       int    `cbor:"9,keyasint,omitempty"`
	ScorerFailures int    `cbor:"10,keyasint,omitempty"`
	Result         Result `cbor:"11,keyasint,omitempty"`
	// Score comes with ResultCompleted.
	Score string `cbor:"12,keyasint,omitempty"`
	// Ends is added to the count of replicas that ended while they ran the item.
	Ends int `cbor:"13,keyasint,omitempty"`
}

// Result is the final state of an item.
type Result uint8

const (
	// ResultNone is an item that is still to be done.
	ResultNone Result = iota
	// ResultCompleted is an item whose whole text is listed.
	ResultCompleted
	// ResultErrored is an item that was given up.
	ResultErrored
)

// Forget drops jobs whose time to be asked about is over.
type Forget struct {
	Jobs []string `cbor:"1,keyasint"`
}

// AcceptOutcome answers Accept.
type AcceptOutcome uint8

const (
	// Accepted says that the job is kept from now on.
	Accepted AcceptOutcome = iota + 1
	// AcceptedBefore says that a job of this id is kept already.
	AcceptedBefore
	// OfAnotherTenant says that the id is that of another tenant's job, and this one is
	// not kept.
	OfAnotherTenant
)
