// Package client submits jobs to the entries of a deployment and drives the
// operators' API.
//
// Submit returns once for each job: with the complete answer, or with an error
// whose type says what may have run. A lost answer is requested again under the
// same ticket, so that no task starts twice; a new ticket is used only after proof
// that nothing ran under the one before. That proof is a refusal whose code says
// that nothing ran and that names the ticket: it is final, since a refused
// submission consumes its ticket. A refusal that does not name the ticket applies
// to one request only. Retries are bounded by a budget that all jobs of a client
// share.
package client
