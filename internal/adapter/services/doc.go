// Package services holds the clients of external services: scorers, prompt sources and
// machine lists. They implement port.Scorer, port.PromptSource and port.MachineList.
//
// Requests to all three are idempotent, but the clients send each request once and leave
// retries to the caller.
package services
