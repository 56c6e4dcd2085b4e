package plantainturn.relay.http

/** Whether an answer on a connection belongs to the request in progress there. */
internal enum class AnswerOwnership {
    /** It answers the request in progress. */
    OWN,

    /** It is left over from another request; the own answer is still to come. */
    OTHER,

    /** It may be either, so that nothing is known of the request in progress. */
    UNCLEAR,
}
