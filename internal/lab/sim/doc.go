// Package sim runs a site in virtual time: the engine model, callers, trainers,
// scorers and the weight store, with the decision code of the nodes between
// them. Equal options give equal outcomes to the last digit.
package sim
