package plantainturn.request.completion

/** Receives the tokens of an answer, each exactly once and in order. */
public fun interface AnswerReceiver {
    /**
     * Receives the text of the token at [position], counted from 0.
     *
     * Returns false if the caller has disconnected, which ends the request.
     */
    public fun receive(
        position: Int,
        text: String,
    ): Boolean
}
