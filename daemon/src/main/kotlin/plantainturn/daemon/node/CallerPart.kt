package plantainturn.daemon.node

import plantainturn.daemon.caller.CallerApi
import plantainturn.daemon.caller.CompletionConvention
import plantainturn.daemon.caller.CompletionEndpoint
import plantainturn.daemon.caller.CompletionRoute
import plantainturn.daemon.caller.RequestExecutor
import plantainturn.daemon.caller.RequestIdentifiers
import plantainturn.daemon.caller.ResultObserver
import plantainturn.daemon.caller.ServiceEndpoint
import plantainturn.daemon.settings.LimitSettings
import plantainturn.request.completion.CompletionCoordinator
import plantainturn.request.service.ServiceCoordinator
import kotlin.time.Duration.Companion.milliseconds

/** What serves callers. */
internal class CallerPart(
    limits: LimitSettings,
    parts: NodeParts,
    identifiers: RequestIdentifiers,
    observer: ResultObserver,
) {
    private val completions =
        CompletionCoordinator(
            configuration = parts.version.follower,
            directory = parts.upstreams.directory,
            engines = parts.platform.upstreams::engine,
            timer = parts.timer,
            random = parts.random,
            resources = parts.requests.resources,
        )
    private val services =
        ServiceCoordinator(
            configuration = parts.version.follower,
            directory = parts.upstreams.directory,
            connections = { _, name, specification -> parts.platform.upstreams.service(name, specification) },
            claims = parts.claims,
            timer = parts.timer,
            random = parts.random,
            resources = parts.requests.resources,
        )
    private val routes =
        CompletionConvention.entries.map { convention ->
            val deadline = limits.deadlineMilliseconds.milliseconds
            CompletionRoute(convention, CompletionEndpoint(convention, completions, parts.timer, deadline))
        }
    val api =
        CallerApi(
            parts.version.follower,
            routes,
            ServiceEndpoint(services, parts.timer),
            identifiers,
            RequestExecutor(limits.requestsInFlight),
            parts.timer,
            observer,
        )
}
