package plantainturn.request.completion

/** Runs callers' requests for answers. */
public fun interface CompletionHandler {
    /** Runs [request] on the calling thread and gives its tokens to [receiver]. Throws nothing. */
    public fun handle(
        request: CompletionRequest,
        receiver: AnswerReceiver,
    ): CompletionResult
}
