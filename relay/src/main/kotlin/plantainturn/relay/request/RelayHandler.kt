package plantainturn.relay.request

import io.netty.buffer.Unpooled
import plantainturn.process.ResultCode
import plantainturn.relay.http.CallerConnectionListener
import plantainturn.relay.http.CallerHandler
import plantainturn.relay.http.CallerReply
import plantainturn.relay.http.CallerRequest
import plantainturn.relay.loop.LoopTask
import plantainturn.request.RequestIdentifier
import plantainturn.version.configuration.ServiceName
import plantainturn.version.route.Route
import plantainturn.version.route.RoutingConfiguration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Finds the route of each caller's request and starts its [RelayExchange]. */
internal class RelayHandler(
    private val context: RelayContext,
) : CallerHandler {
    /** Number of requests in progress. */
    val inProgress: Int
        get() = exchanges.size

    private val exchanges = LinkedHashSet<RelayExchange>()
    private var stopping = false

    /** Refuses all requests from now on. */
    fun stopAccepting() {
        stopping = true
    }

    /** Ends the requests in progress with an answer, as the time of this node ends. */
    fun endAll(): Unit = exchanges.toList().forEach { it.onEndOfNode() }

    /** Ends the requests that wait with a key that is no longer in force. */
    fun onConfiguration(): Unit = exchanges.toList().forEach { it.onConfiguration() }

    override fun handle(
        request: CallerRequest,
        reply: CallerReply,
    ): CallerConnectionListener =
        context.metrics.work.measure(LoopTask.REQUEST) {
            when (val decoded = context.dialect.decode(request)) {
                is DecodedRequest.Malformed ->
                    refuse(request, reply, decoded.identifier, ResultCode.MALFORMED_REQUEST, decoded.reason)
                is DecodedRequest.Accepted -> begin(decoded.request, reply, terms = null)
            }
        }

    /** Handles the requests that other nodes hand over. */
    val forwarded: CallerHandler =
        object : CallerHandler by this {
            override fun handle(
                request: CallerRequest,
                reply: CallerReply,
            ): CallerConnectionListener {
                val terms =
                    request.head
                        .headers()
                        .get(ForwardTerms.HEADER)
                        ?.let(ForwardTerms::decode)
                val decoded = context.dialect.decode(request)
                if (decoded is DecodedRequest.Accepted && terms != null) return begin(decoded.request, reply, terms)
                val identifier = (decoded as? DecodedRequest.Malformed)?.identifier
                val details = "forwarded=true terms=$terms"
                return refuse(request, reply, identifier, ResultCode.MALFORMED_REQUEST, details)
            }
        }

    /** Lets the requests for [service] go on by way of other nodes. */
    fun onCutOff(service: ServiceName): Unit = exchanges.toList().forEach { it.onCutOff(service) }

    private fun begin(
        request: RelayRequest,
        reply: CallerReply,
        terms: ForwardTerms?,
    ): CallerConnectionListener {
        val identifier = request.identifier
        val configuration = context.routing.current
        if (stopping || configuration == null) {
            val code = if (stopping) ResultCode.STOPPING else ResultCode.NOT_READY
            val wait = if (stopping) STOPPING_RETRY_AFTER else NOT_READY_RETRY_AFTER
            return refuse(request.source, reply, identifier, code, "stopping=$stopping", wait)
        }
        val route = configuration.table.find(request.host, request.path)
        if (route == null || context.currency.isSuperseded) {
            return refuseByConfiguration(request, reply, route, configuration)
        }
        val service = configuration.services[route.destinationFor(randomFor(route))]
        if (service == null) {
            val details = "route=${route.name} configuration=${configuration.version}"
            return refuse(request.source, reply, identifier, ResultCode.NO_UPSTREAM, details, NOT_READY_RETRY_AFTER)
        }
        val account = RequestAccount(context, request, route, terms)
        val refused = account.lookUp()
        return if (refused == null) {
            RelayExchange(context, request, route, service, account, reply, exchanges::remove).also {
                exchanges += it
                it.start()
            }
        } else {
            val details = "route=${route.name} configuration=${configuration.version} ${refused.reason}"
            refuse(request.source, reply, identifier, refused.code, details, refused.retryAfter)
        }
    }

    /** A later configuration may have the route, or another destination for it. */
    private fun refuseByConfiguration(
        request: RelayRequest,
        reply: CallerReply,
        route: Route?,
        configuration: RoutingConfiguration,
    ): CallerConnectionListener {
        val isUnknown = route == null && context.currency.permitsDenial
        return refuse(
            request.source,
            reply,
            request.identifier,
            if (isUnknown) ResultCode.PATH_UNKNOWN else ResultCode.CONFIGURATION_OUTDATED,
            "route=${route?.name} configuration=${configuration.version} host=${request.host} path=${request.path} " +
                context.currency.describe(),
            RequestLimits.OUTDATED_RETRY_AFTER.takeUnless { isUnknown },
        )
    }

    override fun onAlreadyDisconnected(request: CallerRequest) {
        val identifier =
            when (val decoded = context.dialect.decode(request)) {
                is DecodedRequest.Malformed -> decoded.identifier
                is DecodedRequest.Accepted -> decoded.request.identifier
            }
        request.body.release()
        val waited = context.timer.now() - request.receivedAt
        context.metrics.onEnd(null, ResultCode.CANCELLED, waited)
        context.eventLog.recordEnd(identifier, ResultCode.CANCELLED, ResultCode.CANCELLED.httpStatus, "handled=false")
    }

    override fun onUnreadable(
        reply: CallerReply,
        status: Int,
        reason: String,
    ) {
        val code =
            when (status) {
                REQUEST_TIMEOUT -> ResultCode.REQUEST_TOO_SLOW
                TOO_LARGE, HEADERS_TOO_LARGE ->
                    // A later configuration may have higher limits.
                    if (context.currency.permitsDenial) {
                        ResultCode.REQUEST_TOO_LARGE
                    } else {
                        ResultCode.CONFIGURATION_OUTDATED
                    }
                MEMORY_SCARCE -> ResultCode.MEMORY_LIMIT_REACHED
                else -> ResultCode.MALFORMED_REQUEST
            }
        val retryAfter =
            when (code) {
                ResultCode.MEMORY_LIMIT_REACHED -> MEMORY_RETRY_AFTER
                ResultCode.CONFIGURATION_OUTDATED -> RequestLimits.OUTDATED_RETRY_AFTER
                else -> null
            }
        val sent = if (code == ResultCode.CONFIGURATION_OUTDATED) code.httpStatus else status
        reply.send(sent, context.dialect.ownHeaders(null, code, retryAfter), Unpooled.EMPTY_BUFFER)
        context.metrics.onEnd(null, code, Duration.ZERO)
        context.eventLog.recordEnd(null, code, sent, "reason=\"$reason\" ${context.currency.describe()}")
    }

    private fun randomFor(route: Route): Double = if (route.destinations.size == 1) 0.0 else context.random.nextDouble()

    private fun refuse(
        request: CallerRequest,
        reply: CallerReply,
        identifier: RequestIdentifier?,
        code: ResultCode,
        details: String,
        retryAfter: Duration? = null,
    ): CallerConnectionListener {
        request.body.release()
        reply.send(code.httpStatus, context.dialect.ownHeaders(identifier, code, retryAfter), Unpooled.EMPTY_BUFFER)
        context.metrics.onEnd(null, code, context.timer.now() - request.receivedAt)
        context.eventLog.recordEnd(identifier, code, code.httpStatus, details)
        return NoOpCallerConnectionListener
    }

    private object NoOpCallerConnectionListener : CallerConnectionListener {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    private companion object {
        const val REQUEST_TIMEOUT = 408
        const val TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431
        const val MEMORY_SCARCE = 503

        /** Half of the memory is free again a second after it became scarce. */
        val MEMORY_RETRY_AFTER = 1_000.milliseconds
        val NOT_READY_RETRY_AFTER = 300.milliseconds

        /** Short, because another node can serve the caller at once. */
        val STOPPING_RETRY_AFTER = 10.milliseconds
    }
}
