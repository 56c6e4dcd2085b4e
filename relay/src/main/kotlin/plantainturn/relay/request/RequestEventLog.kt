package plantainturn.relay.request

import org.apache.logging.log4j.LogManager
import plantainturn.process.ResultCode
import plantainturn.request.RequestIdentifier

/** Logs each decision on a request, so that its result can be explained from its identifier. */
internal class RequestEventLog {
    private val logger = LogManager.getLogger("request")

    /** Logs [event] of the request [identifier]; [details] are the inputs of the decision as `name=value` pairs. */
    fun record(
        identifier: RequestIdentifier?,
        event: String,
        details: String,
    ) {
        logger.info("request={} event={} {}", identifier?.value ?: "-", event, details)
    }

    /** Logs the end of the request with its result [code] and HTTP [status]. */
    fun recordEnd(
        identifier: RequestIdentifier?,
        code: ResultCode,
        status: Int,
        details: String,
    ) {
        logger.info("request={} event=end code={} status={} {}", identifier?.value ?: "-", code.number, status, details)
    }
}
