package plantainturn.relay.request

/** What may still be sent to a caller after what it has received of the answer to its request. */
internal enum class AnswerContinuation {
    /** Nothing was sent, so any complete answer or the beginning of one may follow. */
    ANY_ANSWER,

    /** Complete, numbered events were sent, so only the events after the last one may follow. */
    REST_OF_STREAM,

    /** A part was sent that only the same answer could continue, or the answer has ended. */
    NOTHING,
}
