package plantainturn.request.completion

/** Handles completion requests. */
public fun interface CompletionHandler {
    /** Runs [request] on the calling thread and passes its tokens to [receiver]. Does not throw. */
    public fun handle(
        request: CompletionRequest,
        receiver: AnswerReceiver,
    ): CompletionResult
}
