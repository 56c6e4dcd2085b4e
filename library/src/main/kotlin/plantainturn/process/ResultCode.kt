package plantainturn.process

/**
 * The numbered results that callers, operators and logs see.
 *
 * Numbers are stable: a number is never reused with another meaning. The first digit is the group, which for requests
 * corresponds to [Outcome]. A test checks `docs/RESULT-CODES.md` against this table.
 *
 * @property number the stable number
 * @property httpStatus the HTTP status that carries the code
 * @property outcome what the code states about the execution of the request
 * @property summary one sentence for the reader of an answer
 */
public enum class ResultCode(
    public val number: Int,
    public val httpStatus: Int,
    public val outcome: Outcome,
    public val summary: String,
) {
    ANSWERED(1000, 200, Outcome.ANSWERED, "The request ran and this is its whole answer."),
    ANSWERED_FROM_RECORD(1001, 200, Outcome.ANSWERED, "The key was used before; this is the first run's answer."),

    MALFORMED_REQUEST(2000, 400, Outcome.NOT_RUN, "The request is not well formed."),
    TEAM_NOT_RECOGNISED(2001, 401, Outcome.NOT_RUN, "The key names no team."),
    NOT_PERMITTED(2002, 403, Outcome.NOT_RUN, "The key does not permit this call."),
    MODEL_UNKNOWN(2003, 404, Outcome.NOT_RUN, "No model or adapter has this name."),
    SERVICE_UNKNOWN(2004, 404, Outcome.NOT_RUN, "No service has this name."),
    REQUEST_TOO_LARGE(2005, 413, Outcome.NOT_RUN, "The request is larger than the limit."),
    PATH_UNKNOWN(2006, 404, Outcome.NOT_RUN, "There is nothing at this path."),
    KEY_REUSED(2007, 422, Outcome.NOT_RUN, "The idempotency key was used for another request."),
    KEY_EXPIRED(2008, 409, Outcome.NOT_RUN, "The idempotency key is older than the window in which keys are kept."),
    REQUEST_TOO_SLOW(2009, 408, Outcome.NOT_RUN, "The request's body did not arrive in time."),

    OVERLOADED(3000, 429, Outcome.NOT_RUN, "The request cannot meet its deadline now; come back later."),
    TEAM_LIMIT_REACHED(3001, 429, Outcome.NOT_RUN, "The team has as many requests waiting as its share allows."),
    NO_UPSTREAM(3002, 503, Outcome.NOT_RUN, "No ready upstream holds the model or service."),
    STOPPING(3003, 503, Outcome.NOT_RUN, "This node is stopping."),
    NOT_READY(3004, 503, Outcome.NOT_RUN, "This node has no configuration yet."),
    LOG_UNAVAILABLE(3005, 503, Outcome.NOT_RUN, "The key cannot be claimed while the log is unavailable."),
    QUARANTINED(3006, 503, Outcome.NOT_RUN, "Requests like this one have crashed upstreams and are not run."),
    DEADLINE_PASSED_IN_QUEUE(3007, 503, Outcome.NOT_RUN, "The deadline passed before the request was started."),
    RETRIES_EXHAUSTED_NOT_RUN(3008, 503, Outcome.NOT_RUN, "Each upstream that was tried refused to run the request."),
    UPSTREAMS_RESTING(
        3009,
        503,
        Outcome.NOT_RUN,
        "Each upstream that could run the request asked for a pause or for fewer requests.",
    ),
    QUOTA_EXCEEDED(3010, 429, Outcome.NOT_RUN, "The client account has used its quota; come back later."),
    QUOTA_UNAVAILABLE(
        3011,
        503,
        Outcome.NOT_RUN,
        "Whether the client account's quota has room cannot be told at present.",
    ),
    CONFIGURATION_OUTDATED(3012, 503, Outcome.NOT_RUN, "A later configuration may allow what this node's does not."),
    MEMORY_LIMIT_REACHED(3013, 503, Outcome.NOT_RUN, "This node holds as much for its callers as it may."),
    CUT_OFF(
        3014,
        503,
        Outcome.NOT_RUN,
        "This node reaches no upstream of the service, and no other node took the request.",
    ),

    UPSTREAM_FAILED(4000, 502, Outcome.FAILED, "The upstream ran the request and failed."),
    STREAM_BROKEN(4001, 502, Outcome.FAILED, "The answer broke off and could not be resumed."),
    DEADLINE_PASSED(4002, 504, Outcome.FAILED, "The deadline passed while the request ran."),
    CANCELLED(4003, 499, Outcome.FAILED, "The caller went away."),

    OUTCOME_UNKNOWN(5000, 502, Outcome.UNKNOWN, "The request may or may not have run; do not assume either."),
    KEY_IN_PROGRESS(5001, 409, Outcome.UNKNOWN, "The first request with this key has not ended; ask again later."),

    CONFIGURATION_ACCEPTED(6000, 200, Outcome.ANSWERED, "The patch is accepted and in force."),
    CONFIGURATION_CONFLICT(6001, 412, Outcome.NOT_RUN, "The patch was made against another version."),
    CONFIGURATION_INVALID(6002, 422, Outcome.NOT_RUN, "The patched configuration does not pass the checks."),
    CONFIGURATION_UNKNOWN(6003, 504, Outcome.UNKNOWN, "The patch's fate is unknown; send it again as it is."),
    VERSION_MISSING(6004, 428, Outcome.NOT_RUN, "The patch names no version in If-Match."),

    INTERNAL_FAULT(9000, 500, Outcome.UNKNOWN, "This node met a fault of its own."),
    ;

    public companion object {
        /** Returns the code with this [number], or null if there is none. */
        public fun ofNumber(number: Int): ResultCode? = entries.firstOrNull { it.number == number }
    }
}
