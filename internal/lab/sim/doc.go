// Package sim simulates a site in virtual time: the engine model, callers, trainers,
// scorers and the weight store, connected by the decision code of the nodes. Equal
// options give equal outcomes.
package sim
