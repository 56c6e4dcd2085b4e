package plantainturn.request.completion

/** Takes the tokens of an answer, each once and in order. */
public fun interface AnswerReceiver {
    /**
     * Takes the text of the token at [position], counted from 0.
     *
     * Returns false when the caller has gone away, which ends the request.
     */
    public fun receive(
        position: Int,
        text: String,
    ): Boolean
}
