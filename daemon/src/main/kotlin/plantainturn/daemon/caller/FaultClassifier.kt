package plantainturn.daemon.caller

import io.javalin.http.HttpResponseException
import plantainturn.process.ResultCode
import java.util.concurrent.TimeoutException

/** Finds the result code for an exception that the HTTP server threw while it read a request. */
internal object FaultClassifier {
    private const val HTTP_BAD_REQUEST = 400
    private const val HTTP_NOT_FOUND = 404
    private const val HTTP_METHOD_NOT_ALLOWED = 405
    private const val HTTP_TIMEOUT = 408
    private const val HTTP_TOO_LARGE = 413

    fun classify(exception: Throwable): ResultCode =
        when {
            exception is HttpResponseException -> ofStatus(exception.status)
            exception is org.eclipse.jetty.http.HttpException -> ofStatus(exception.code)
            exception is TimeoutException -> ResultCode.REQUEST_TOO_SLOW
            exception is org.eclipse.jetty.io.EofException -> ResultCode.CANCELLED
            else -> exception.cause?.let(::classify) ?: ResultCode.INTERNAL_FAULT
        }

    private fun ofStatus(status: Int): ResultCode =
        when (status) {
            HTTP_BAD_REQUEST -> ResultCode.MALFORMED_REQUEST
            HTTP_NOT_FOUND, HTTP_METHOD_NOT_ALLOWED -> ResultCode.PATH_UNKNOWN
            HTTP_TIMEOUT -> ResultCode.REQUEST_TOO_SLOW
            HTTP_TOO_LARGE -> ResultCode.REQUEST_TOO_LARGE
            else -> ResultCode.INTERNAL_FAULT
        }
}
