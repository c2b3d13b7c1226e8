// Package services holds the clients of the services that loomgrade finds in
// place: scorers, prompt sources and machine lists. They implement
// port.Scorer, port.PromptSource and port.MachineList.
//
// All three interfaces may be asked again without harm; their clients still
// send each request once, and leave it to the caller to repeat it.
package services
