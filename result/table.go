package result

import "net/http"

// table describes every code, in ascending order. docs/CODES.md is checked against
// it.
var table = []Info{
	{OK, "ok", http.StatusOK, RanYes, ResubmitSameTicket, "All tasks ran once and the answer is whole."},
	{BadRequest, "bad_request", http.StatusBadRequest, RanNo, ResubmitNever, "The request could not be read."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RanNo, ResubmitNever, "The request body is over the limit."},
	{TooManyTasks, "too_many_tasks", http.StatusRequestEntityTooLarge, RanNo, ResubmitNever, "The job has more tasks than the limit."},
	{PayloadTooLarge, "payload_too_large", http.StatusRequestEntityTooLarge, RanNo, ResubmitNever, "A task's payload is over the limit."},
	{BadTicket, "bad_ticket", http.StatusBadRequest, RanNo, ResubmitNewTicket, "The ticket is malformed or was not issued by this deployment."},
	{TicketExpired, "ticket_expired", http.StatusGone, RanNo, ResubmitNewTicket, "The ticket is past its lifetime and its job was never submitted here."},
	{TicketReused, "ticket_reused", http.StatusConflict, RanMaybe, ResubmitNever, "The ticket was already used for a job with a different body."},
	{UnknownService, "unknown_service", http.StatusNotFound, RanNo, ResubmitNewTicket, "No release note in force names the service."},
	{UnknownTeam, "unknown_team", http.StatusForbidden, RanNo, ResubmitNewTicket, "No release note in force names the team."},
	{BadDeadline, "bad_deadline", http.StatusBadRequest, RanNo, ResubmitNever, "The deadline is missing or out of range."},
	{SlowRequest, "slow_request", http.StatusRequestTimeout, RanNo, ResubmitSameTicket, "The request body did not arrive in time."},
	{NotFound, "not_found", http.StatusNotFound, RanNo, ResubmitNever, "There is no such path, job or note."},
	{BadSettings, "bad_settings", http.StatusBadRequest, RanNo, ResubmitNever, "A setting is missing, unknown or out of range."},
	{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, RanNo, ResubmitNever, "The path does not take this method."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, RanNo, ResubmitNewTicket, "The queue cannot meet the deadline."},
	{QuotaExceeded, "quota_exceeded", http.StatusTooManyRequests, RanNo, ResubmitNewTicket, "The team has used up its quota."},
	{NeverFits, "never_fits", http.StatusUnprocessableEntity, RanNo, ResubmitNever, "A task is larger than any worker known."},
	{DeadlineUnmet, "deadline_unmet", http.StatusGatewayTimeout, RanNo, ResubmitNewTicket, "The deadline passed before any task started."},
	{Stopping, "stopping", http.StatusServiceUnavailable, RanNo, ResubmitNewTicket, "The entry is shutting down and takes no new jobs."},
	{TooManyOpenJobs, "too_many_open_jobs", http.StatusServiceUnavailable, RanNo, ResubmitNewTicket, "The entry has as many open jobs as its limit."},
	{NoVersion, "no_version", http.StatusServiceUnavailable, RanNo, ResubmitNewTicket, "The entry has not learnt a configuration version yet."},
	{SettledNotRun, "settled_not_run", http.StatusConflict, RanNo, ResubmitNewTicket, "The issuing entry is lost, no task had started, and none will."},
	{CancelledNotRun, "cancelled_not_run", http.StatusConflict, RanNo, ResubmitNewTicket, "The job was cancelled before any task started."},
	{TooManyTickets, "too_many_tickets", http.StatusBadRequest, RanNo, ResubmitNever, "More tickets were asked for than one request may take."},
	{IssuerClosed, "issuer_closed", http.StatusConflict, RanNo, ResubmitNewTicket, "The issuing entry shut down without having seen the job."},
	{ServiceWithdrawn, "service_withdrawn", http.StatusGone, RanNo, ResubmitNewTicket, "The service was withdrawn before any task started."},
	{Unsupported, "unsupported", http.StatusServiceUnavailable, RanNo, ResubmitNever, "The job asks for something that this deployment does not serve yet."},
	{TaskFailed, "task_failed", http.StatusBadGateway, RanMaybe, ResubmitSameTicket, "An endpoint failed a task, so the job failed as a whole."},
	{DeadlinePassed, "deadline_passed", http.StatusGatewayTimeout, RanMaybe, ResubmitSameTicket, "The deadline passed after some tasks had started."},
	{Cancelled, "cancelled", http.StatusConflict, RanMaybe, ResubmitSameTicket, "The job was cancelled after some tasks had started."},
	{OutcomeUnknown, "outcome_unknown", http.StatusServiceUnavailable, RanMaybe, ResubmitSameTicket, "It cannot be proved yet what ran."},
	{AgentLost, "agent_lost", http.StatusBadGateway, RanMaybe, ResubmitSameTicket, "An agent was lost with a task whose fate is unknown."},
	{SettledFailed, "settled_failed", http.StatusBadGateway, RanMaybe, ResubmitSameTicket, "The issuing entry is lost, some tasks ran and the others never will."},
	{EndpointTimeout, "endpoint_timeout", http.StatusGatewayTimeout, RanMaybe, ResubmitSameTicket, "An endpoint did not answer a task in time."},
	{ResultTooLarge, "result_too_large", http.StatusBadGateway, RanMaybe, ResubmitSameTicket, "A task's result is over the limit."},
	{NoteConflict, "note_conflict", http.StatusConflict, RanNo, ResubmitNever, "The note was written against a version that is no longer current."},
	{NoteInvalid, "note_invalid", http.StatusUnprocessableEntity, RanNo, ResubmitNever, "The note does not apply to the configuration in force."},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, RanMaybe, ResubmitSameTicket, "The platform's table did not confirm; send the same note id again."},
	{HeldNotDurable, "held_not_durable", http.StatusAccepted, RanMaybe, ResubmitSameTicket, "The zone is out of service at once, but the note is not durable yet."},
	{Unauthorized, "unauthorized", http.StatusUnauthorized, RanNo, ResubmitNever, "The operator's token is missing or wrong."},
	{NoteUnconfirmed, "note_unconfirmed", http.StatusAccepted, RanYes, ResubmitSameTicket, "The note is durable, but some entries have not confirmed it."},
	{NoteReused, "note_reused", http.StatusConflict, RanNo, ResubmitNever, "The note id was already used for different content."},
	{StaleCredit, "stale_credit", http.StatusConflict, RanNo, ResubmitNewTicket, "The slot credit was spent or taken back."},
	{PermissionLapsed, "permission_lapsed", http.StatusConflict, RanNo, ResubmitNewTicket, "The agent's permission to start is not fresh."},
	{ZoneOut, "zone_out", http.StatusConflict, RanNo, ResubmitNewTicket, "The agent's availability zone is out of service."},
	{EndpointLeaving, "endpoint_leaving", http.StatusConflict, RanNo, ResubmitNewTicket, "The endpoint is leaving."},
	{TicketFenced, "ticket_fenced", http.StatusConflict, RanNo, ResubmitNewTicket, "The ticket was settled by another entry."},
	{AlreadyStarted, "already_started", http.StatusConflict, RanMaybe, ResubmitNever, "The task was started before."},
	{NotRegistered, "not_registered", http.StatusConflict, RanNo, ResubmitNewTicket, "The agent has not registered in the platform's table yet."},
	{EndpointUnreachable, "endpoint_unreachable", http.StatusConflict, RanNo, ResubmitNewTicket, "The endpoint took no connection, so the task did not start."},
	{StartTooLate, "start_too_late", http.StatusConflict, RanNo, ResubmitNewTicket, "The task's start-by time had passed."},
	{NotIssuer, "not_issuer", http.StatusConflict, RanNo, ResubmitNewTicket, "The grant did not come from the entry that issued the ticket."},
	{PeerUnreachable, "peer_unreachable", http.StatusServiceUnavailable, RanNo, ResubmitSameTicket, "A peer entry did not answer."},
	{BadMessage, "bad_message", http.StatusBadRequest, RanNo, ResubmitNever, "A message between processes could not be decoded."},
	{EndpointBusy, "endpoint_busy", http.StatusConflict, RanNo, ResubmitNewTicket, "The endpoint said that it did not start the task, as it had no room for it."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, info := range table {
		m[info.Code] = info
	}
	return m
}()
