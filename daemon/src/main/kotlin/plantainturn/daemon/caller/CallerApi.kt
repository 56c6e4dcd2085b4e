package plantainturn.daemon.caller

import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.javalin.http.HandlerType
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import plantainturn.daemon.http.ResultWriter
import plantainturn.process.ResultCode
import plantainturn.process.time.TimerService
import plantainturn.request.RequestIdentifier
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.configuration.NumberedConfiguration
import plantainturn.version.configuration.TeamName

/** The HTTP interface for callers. */
internal class CallerApi(
    private val configuration: ConfigurationSource,
    private val completions: List<CompletionRoute>,
    private val services: ServiceEndpoint,
    private val identifiers: RequestIdentifiers,
    private val executor: RequestExecutor,
    private val timer: TimerService,
    private val observer: ResultObserver,
) {
    private val logger = LogManager.getLogger(CallerApi::class.java)

    /** Adds the routes for callers to [config]. */
    fun register(config: JavalinConfig) {
        config.routes.get("/v1/models") { context -> listModels(context) }
        for (route in completions) {
            config.routes.post(route.convention.path) { context ->
                accept(context) { identifier, team ->
                    route.endpoint.serve(context, identifier, team, context.body())
                }
            }
        }
        for (method in SERVICE_METHODS) {
            for (path in SERVICE_PATHS) config.routes.addHttpHandler(method, path, ::serveService)
        }
        config.routes.exception(Exception::class.java) { exception, context -> writeFault(exception, context) }
        config.routes.error(HTTP_NOT_FOUND) { context -> writeUnknownPath(context) }
    }

    private fun serveService(context: Context) {
        accept(context) { identifier, team -> services.serve(context, identifier, team, context.bodyAsBytes()) }
    }

    private fun listModels(context: Context) {
        val identifier = identifiers.next()
        val current = currentOrRefuse(context, identifier) ?: return
        if (teamOrRefuse(context, identifier, current) == null) return
        ResultWriter.writeHeaders(context, identifier, ResultCode.ANSWERED)
        context.contentType("application/json")
        context.result(ModelsEndpoint.encode(current.configuration))
    }

    private fun accept(
        context: Context,
        serve: (RequestIdentifier, TeamName) -> ResultCode,
    ) {
        val identifier = identifiers.next()
        val current = currentOrRefuse(context, identifier) ?: return
        val team = teamOrRefuse(context, identifier, current) ?: return
        val received = timer.now()
        context.future {
            executor.submit {
                val code = serveGuarded(context, identifier) { serve(identifier, team) }
                val elapsed = timer.now() - received
                observer.observe(code, elapsed)
                logger.info(
                    StringMapMessage()
                        .with("event", "request")
                        .with("request", identifier.value)
                        .with("team", team.value)
                        .with("path", context.path())
                        .with("code", code.number)
                        .with("milliseconds", elapsed.inWholeMilliseconds),
                )
            } ?: refuseBusy(context, identifier)
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private fun serveGuarded(
        context: Context,
        identifier: RequestIdentifier,
        serve: () -> ResultCode,
    ): ResultCode =
        try {
            serve()
        } catch (exception: Exception) {
            refuseBody(context, identifier, exception)
        }

    private fun refuseBody(
        context: Context,
        identifier: RequestIdentifier,
        exception: Exception,
    ): ResultCode {
        val code = FaultClassifier.classify(exception)
        if (code == ResultCode.INTERNAL_FAULT) logger.error("A request met a fault", exception)
        if (!context.res().isCommitted) ResultWriter.writeError(context, identifier, code, "")
        return code
    }

    private fun refuseBusy(
        context: Context,
        identifier: RequestIdentifier,
    ): java.util.concurrent.CompletableFuture<Void> {
        observer.observe(ResultCode.OVERLOADED, kotlin.time.Duration.ZERO)
        ResultWriter.writeError(context, identifier, ResultCode.OVERLOADED, "", RETRY_AFTER_BUSY)
        return java.util.concurrent.CompletableFuture
            .completedFuture(null)
    }

    private fun currentOrRefuse(
        context: Context,
        identifier: RequestIdentifier,
    ): NumberedConfiguration? {
        val current = configuration.current
        if (current == null) {
            ResultWriter.writeError(context, identifier, ResultCode.NOT_READY, "", RETRY_AFTER_BUSY)
        }
        return current
    }

    private fun teamOrRefuse(
        context: Context,
        identifier: RequestIdentifier,
        current: NumberedConfiguration,
    ): TeamName? {
        val team = TeamAuthenticator.authenticate(context, current.configuration)
        if (team == null) ResultWriter.writeError(context, identifier, ResultCode.TEAM_NOT_RECOGNISED, "")
        return team
    }

    private fun writeFault(
        exception: Exception,
        context: Context,
    ) {
        refuseBody(context, identifiers.next(), exception)
    }

    private fun writeUnknownPath(context: Context) {
        if (context.res().getHeader(ResultWriter.CODE_HEADER) != null) return
        ResultWriter.writeError(context, identifiers.next(), ResultCode.PATH_UNKNOWN, "")
    }

    private companion object {
        const val HTTP_NOT_FOUND = 404
        val RETRY_AFTER_BUSY = with(kotlin.time.Duration) { 1.seconds }
        val SERVICE_METHODS =
            listOf(
                HandlerType.GET,
                HandlerType.HEAD,
                HandlerType.POST,
                HandlerType.PUT,
                HandlerType.PATCH,
                HandlerType.DELETE,
            )
        val SERVICE_PATHS = listOf("/services/{name}", "/services/{name}/<path>")
    }
}
