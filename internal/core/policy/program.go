package policy

import (
	_ "embed" // for the default program
	"errors"
	"fmt"

	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"
)

// Limits of a program.
const (
	// DefaultMaxSteps limits the interpreter steps of one run.
	DefaultMaxSteps = 500_000
	// MaxSourceBytes limits a program's source.
	MaxSourceBytes = 64 << 10
	// MaxRange limits the length of a range, which one step could turn into a
	// list of any size.
	MaxRange = 10_000

	// FileName is the program's file name in error messages.
	FileName = "policy.star"

	functionName = "plan"
)

// Default is the source of the program for pools without one.
//
//go:embed default.star
var Default string

// ErrStepLimit is returned when a program exceeds its step limit.
var ErrStepLimit = errors.New("policy program ran past its step limit")

// Program is a compiled program. It is immutable; runs share no state.
type Program struct {
	source   string
	function *starlark.Function
	maxSteps uint64
}

// Compile parses and initialises a program. An empty source means Default. Errors name
// file, line and column.
func Compile(source string) (*Program, error) {
	return CompileLimited(source, DefaultMaxSteps)
}

// CompileLimited is Compile with the given step limit.
func CompileLimited(source string, maxSteps uint64) (*Program, error) {
	if source == "" {
		source = Default
	}
	if len(source) > MaxSourceBytes {
		return nil, fmt.Errorf("policy program has %d bytes, allowed are %d", len(source), MaxSourceBytes)
	}
	thread := newThread(maxSteps)
	globals, err := starlark.ExecFileOptions(&syntax.FileOptions{Set: true}, thread, FileName, source, predeclared())
	if err != nil {
		return nil, withPosition(err, thread, maxSteps)
	}
	globals.Freeze()
	function, isFunction := globals[functionName].(*starlark.Function)
	if !isFunction || function.NumParams() != 1 {
		return nil, fmt.Errorf("%s: the program must define %s(pool)", FileName, functionName)
	}
	return &Program{source: source, function: function, maxSteps: maxSteps}, nil
}

// Source returns the program's source.
func (p *Program) Source() string { return p.source }

// Run calls plan(pool) and returns the validated plan and the steps it took. After an
// error the caller keeps the last valid plan.
func (p *Program) Run(view View) (Plan, uint64, error) {
	thread := newThread(p.maxSteps)
	result, err := starlark.Call(thread, p.function, starlark.Tuple{viewValue(view)}, nil)
	steps := thread.ExecutionSteps()
	if err != nil {
		return Plan{}, steps, withPosition(err, thread, p.maxSteps)
	}
	plan, err := readPlan(result, view)
	return plan, steps, err
}

// newThread returns a thread without load and print, with a limit on its steps.
func newThread(maxSteps uint64) *starlark.Thread {
	thread := &starlark.Thread{
		Name:  FileName,
		Print: func(*starlark.Thread, string) {},
	}
	thread.SetMaxExecutionSteps(maxSteps)
	return thread
}

// predeclared returns the names that a program has in addition to the language's own.
func predeclared() starlark.StringDict {
	return starlark.StringDict{
		"struct": starlark.NewBuiltin("struct", starlarkstruct.Make),
		"range":  starlark.NewBuiltin("range", limitedRange),
	}
}

// limitedRange is the language's range with a limit on its length.
func limitedRange(thread *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, keywords []starlark.Tuple) (starlark.Value, error) {
	value, err := starlark.Call(thread, starlark.Universe["range"], args, keywords)
	if err != nil {
		return nil, err
	}
	if length := starlark.Len(value); length > MaxRange {
		return nil, fmt.Errorf("range has %d elements, allowed are %d", length, MaxRange)
	}
	return value, nil
}

// withPosition adds the position in the program to an interpreter error.
func withPosition(err error, thread *starlark.Thread, maxSteps uint64) error {
	if thread.ExecutionSteps() >= maxSteps {
		return fmt.Errorf("%w: allowed are %d", ErrStepLimit, maxSteps)
	}
	var evaluation *starlark.EvalError
	if !errors.As(err, &evaluation) {
		return err
	}
	for depth := range evaluation.CallStack {
		frame := evaluation.CallStack.At(depth)
		if frame.Pos.Filename() == FileName {
			return fmt.Errorf("%s: %w", frame.Pos, err)
		}
	}
	return err
}
