package fault

import "net/http"

// Kind is a kind of error. The set of kinds is closed: each kind has one row in
// the table.
type Kind string

// The kinds of errors.
const (
	OK               Kind = "ok"
	BadRequest       Kind = "bad_request"
	KeyRequired      Kind = "key_required"
	KeyReused        Kind = "key_reused"
	Unauthorized     Kind = "unauthorized"
	NotFound         Kind = "not_found"
	MethodNotAllowed Kind = "method_not_allowed"
	BodyTooLarge     Kind = "body_too_large"
	NeverFits        Kind = "never_fits"
	Overloaded       Kind = "overloaded"
	Deadline         Kind = "deadline"
	Cancelled        Kind = "cancelled"
	NoTarget         Kind = "no_target"
	Draining         Kind = "draining"
	NotReady         Kind = "not_ready"
	HomeUnreachable  Kind = "home_unreachable"
	StoreUnavailable Kind = "store_unavailable"
	RetryHorizon     Kind = "retry_horizon"
	NotStarted       Kind = "not_started"
	RetryBudget      Kind = "retry_budget"
	Conflict         Kind = "conflict"
	BadConfig        Kind = "bad_config"
	BadSettings      Kind = "bad_settings"
	Unreachable      Kind = "unreachable"
	AnswerLost       Kind = "answer_lost"
	BadAnswer        Kind = "bad_answer"
	RunnerCrashed    Kind = "runner_crashed"
	ClaimUnresolved  Kind = "claim_unresolved"
	ClaimedElsewhere Kind = "claimed_elsewhere"
	ResultNotKept    Kind = "result_not_kept"
	JobFailed        Kind = "job_failed"
	NotInForce       Kind = "not_in_force"
	Fenced           Kind = "fenced"
	JobUnknown       Kind = "job_unknown"
	Internal         Kind = "internal"
)

// Exit codes of the command line.
const (
	ExitOK           = 0
	ExitUnknown      = 1
	ExitBadInput     = 2
	ExitNotRun       = 3
	ExitUnauthorized = 4
	ExitNotFound     = 5
	ExitConflict     = 6
)

const statusClientClosedRequest = 499

// Row describes the response that a caller receives for a kind.
type Row struct {
	// Kind is unique in the table.
	Kind Kind
	// Outcome is Answered only for OK.
	Outcome Outcome
	// HTTPStatus is the status code of the HTTP response.
	HTTPStatus int
	// ExitCode is the exit code of the command line.
	ExitCode int
	// Retryable reports that the same submission may succeed later. It is true
	// only for kinds whose outcome is NotRun.
	Retryable bool
	// Counter is the name of the counter of responses of this kind.
	Counter string
	// Hint is a suggestion for the user on what to do next.
	Hint string
}

var table = []Row{
	{OK, Answered, http.StatusOK, ExitOK, false, "answer_ok", ""},
	{BadRequest, NotRun, http.StatusBadRequest, ExitBadInput, false, "refusal_bad_request", "correct the named field"},
	{KeyRequired, NotRun, http.StatusPreconditionRequired, ExitBadInput, false, "refusal_key_required", "send an Idempotency-Key"},
	{KeyReused, NotRun, http.StatusUnprocessableEntity, ExitBadInput, false, "refusal_key_reused", "use a new Idempotency-Key for a new request"},
	{Unauthorized, NotRun, http.StatusUnauthorized, ExitUnauthorized, false, "refusal_unauthorized", "give the token with --token-file"},
	{NotFound, NotRun, http.StatusNotFound, ExitNotFound, false, "refusal_not_found", "list what exists"},
	{MethodNotAllowed, NotRun, http.StatusMethodNotAllowed, ExitBadInput, false, "refusal_method_not_allowed", "use a method that the path supports"},
	{BodyTooLarge, NotRun, http.StatusRequestEntityTooLarge, ExitBadInput, false, "refusal_body_too_large", "send a smaller body"},
	{NeverFits, NotRun, http.StatusUnprocessableEntity, ExitBadInput, false, "refusal_never_fits", "ask for a smaller shape"},
	{Overloaded, NotRun, http.StatusServiceUnavailable, ExitNotRun, true, "refusal_overloaded", "retry later"},
	{Deadline, NotRun, http.StatusGatewayTimeout, ExitNotRun, true, "refusal_deadline", "allow more time"},
	{Cancelled, NotRun, statusClientClosedRequest, ExitNotRun, true, "refusal_cancelled", "submit again"},
	{NoTarget, NotRun, http.StatusServiceUnavailable, ExitNotRun, true, "refusal_no_target", "see dogwood target list"},
	{Draining, NotRun, http.StatusServiceUnavailable, ExitNotRun, true, "refusal_draining", "retry at another VM"},
	{NotReady, NotRun, http.StatusServiceUnavailable, ExitNotRun, true, "refusal_not_ready", "retry at another VM"},
	{HomeUnreachable, NotRun, http.StatusServiceUnavailable, ExitNotRun, true, "refusal_home_unreachable", "retry when the home data centre is reachable"},
	{StoreUnavailable, NotRun, http.StatusServiceUnavailable, ExitNotRun, true, "refusal_store_unavailable", "retry when the platform's store is back"},
	{RetryHorizon, NotRun, http.StatusServiceUnavailable, ExitNotRun, true, "refusal_retry_horizon", "retry after the retry horizon"},
	{NotStarted, NotRun, http.StatusServiceUnavailable, ExitNotRun, true, "refusal_not_started", "retry later"},
	{RetryBudget, NotRun, http.StatusServiceUnavailable, ExitNotRun, true, "refusal_retry_budget", "retry later"},
	{Conflict, NotRun, http.StatusConflict, ExitConflict, false, "refusal_conflict", "fetch the current version, merge and apply again"},
	{BadConfig, NotRun, http.StatusUnprocessableEntity, ExitBadInput, false, "refusal_bad_config", "correct the named lines"},
	{BadSettings, NotRun, http.StatusBadRequest, ExitBadInput, false, "refusal_bad_settings", "correct the named lines"},
	{Unreachable, NotRun, http.StatusServiceUnavailable, ExitNotRun, true, "refusal_unreachable", "check the address"},
	{AnswerLost, Unknown, http.StatusBadGateway, ExitUnknown, false, "unknown_answer_lost", "ask again with the same Idempotency-Key"},
	{BadAnswer, Unknown, http.StatusBadGateway, ExitUnknown, false, "unknown_bad_answer", "ask again with the same Idempotency-Key"},
	{RunnerCrashed, Unknown, http.StatusBadGateway, ExitUnknown, false, "unknown_runner_crashed", "find out why runners go down under the request before sending it again"},
	{ClaimUnresolved, Unknown, http.StatusBadGateway, ExitUnknown, false, "unknown_claim_unresolved", "ask again with the same Idempotency-Key"},
	{ClaimedElsewhere, Unknown, http.StatusConflict, ExitUnknown, false, "unknown_claimed_elsewhere", "ask again with the same Idempotency-Key"},
	{ResultNotKept, Unknown, http.StatusGone, ExitUnknown, false, "unknown_result_not_kept", "look for the result at the service itself"},
	{JobFailed, Unknown, http.StatusConflict, ExitUnknown, false, "unknown_job_failed", "see dogwood job explain"},
	{NotInForce, Unknown, http.StatusAccepted, ExitUnknown, false, "unknown_not_in_force", "see dogwood fleet status"},
	{Fenced, NotRun, http.StatusConflict, ExitConflict, false, "refusal_fenced", "another planner has taken over"},
	{JobUnknown, NotRun, http.StatusGone, ExitNotFound, false, "refusal_job_unknown", "submit the job"},
	{Internal, Unknown, http.StatusInternalServerError, ExitUnknown, false, "unknown_internal", "report this with the daemon's log"},
}

var rows = indexRows()

func indexRows() map[Kind]Row {
	m := make(map[Kind]Row, len(table))
	for _, row := range table {
		m[row.Kind] = row
	}
	return m
}

// Lookup returns the row of a kind, or the row of Internal if the kind is not in
// the table.
func Lookup(kind Kind) Row {
	row, ok := rows[kind]
	if !ok {
		return rows[Internal]
	}
	return row
}

// Known reports whether a kind is in the table.
func Known(kind Kind) bool {
	_, ok := rows[kind]
	return ok
}

// Table returns a copy of all rows.
func Table() []Row { return append([]Row(nil), table...) }
