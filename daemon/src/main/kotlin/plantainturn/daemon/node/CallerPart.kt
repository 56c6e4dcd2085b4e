package plantainturn.daemon.node

import plantainturn.connection.upstream.UpstreamDirectory
import plantainturn.daemon.caller.CallerApi
import plantainturn.daemon.caller.CompletionConvention
import plantainturn.daemon.caller.CompletionEndpoint
import plantainturn.daemon.caller.CompletionRoute
import plantainturn.daemon.caller.RequestExecutor
import plantainturn.daemon.caller.RequestIdentifiers
import plantainturn.daemon.caller.ResultObserver
import plantainturn.daemon.caller.ServiceEndpoint
import plantainturn.daemon.settings.LimitSettings
import plantainturn.process.time.TimerService
import plantainturn.request.RequestResources
import plantainturn.request.claim.ClaimService
import plantainturn.request.completion.CompletionCoordinator
import plantainturn.request.service.ServiceCoordinator
import plantainturn.version.configuration.ConfigurationSource
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** What serves callers. */
internal class CallerPart(
    limits: LimitSettings,
    platform: Platform,
    configuration: ConfigurationSource,
    directory: UpstreamDirectory,
    claims: ClaimService,
    resources: RequestResources,
    timer: TimerService,
    random: Random,
    identifiers: RequestIdentifiers,
    observer: ResultObserver,
) {
    private val completions =
        CompletionCoordinator(
            configuration,
            directory,
            platform.upstreams::engine,
            timer,
            random,
            resources = resources,
        )
    private val services =
        ServiceCoordinator(
            configuration,
            directory,
            { _, name, specification -> platform.upstreams.service(name, specification) },
            claims,
            timer,
            random,
            resources = resources,
        )
    private val routes =
        CompletionConvention.entries.map { convention ->
            CompletionRoute(
                convention,
                CompletionEndpoint(convention, completions, timer, limits.deadlineMilliseconds.milliseconds),
            )
        }
    val api =
        CallerApi(
            configuration,
            routes,
            ServiceEndpoint(services, timer),
            identifiers,
            RequestExecutor(limits.requestsInFlight),
            timer,
            observer,
        )
}
