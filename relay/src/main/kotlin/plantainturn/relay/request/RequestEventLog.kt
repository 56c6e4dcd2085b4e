package plantainturn.relay.request

import org.apache.logging.log4j.LogManager
import plantainturn.process.ResultCode
import plantainturn.request.RequestIdentifier

/** Writes a line for each decision on a request, so that its fate can be explained from its identifier. */
internal class RequestEventLog {
    private val logger = LogManager.getLogger("request")

    /** [event] happened to [identifier]; [details] are the inputs that decided it, as `name=value` pairs. */
    fun record(
        identifier: RequestIdentifier?,
        event: String,
        details: String,
    ) {
        logger.info("request={} event={} {}", identifier?.value ?: "-", event, details)
    }

    /** The request ended. */
    fun recordEnd(
        identifier: RequestIdentifier?,
        code: ResultCode,
        status: Int,
        details: String,
    ) {
        logger.info("request={} event=end code={} status={} {}", identifier?.value ?: "-", code.number, status, details)
    }
}
