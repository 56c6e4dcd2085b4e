package plantainturn.daemon.caller

/** Ties a convention's path to the endpoint that serves it. */
internal class CompletionRoute(
    val convention: CompletionConvention,
    val endpoint: CompletionEndpoint,
)
