package plantainturn.standins

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import okhttp3.OkHttpClient
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import plantainturn.connection.service.HttpField
import plantainturn.connection.service.HttpPlainService
import plantainturn.connection.service.PlainService
import plantainturn.connection.service.ServiceCall
import plantainturn.connection.service.ServiceResult
import plantainturn.request.AttemptNumber
import plantainturn.request.RequestIdentifier
import plantainturn.standins.internal.StandInServer
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@Timeout(30)
class HttpPlainServiceTest {
    private val standIn = ServiceStandIn(ServiceStandInSettings(latencyMilliseconds = 0))
    private val control = StandInClient(standIn.start())
    private val service = HttpPlainService(StandInClient.CLIENT, control.address)

    @AfterEach
    fun stop() = standIn.close()

    @Test
    fun `an answer comes back with its status and the call's key`() {
        val answered = assertIs<ServiceResult.Answered>(call())
        val answer = StandInServer.JSON.decodeFromString(ServiceAnswer.serializer(), answered.body.decodeToString())
        assertEquals(200, answered.status)
        assertEquals(ServiceAnswer("service", 1, "POST", "/orders", "key-1", "request-1", 5), answer)
    }

    @Test
    fun `a crash before or after the execution leaves the outcome unknown`() {
        control.switch(ServiceFaults.serializer(), ServiceFaults(crashBeforeExecution = 1))
        assertIs<ServiceResult.Unknown>(call())
        assertEquals(0, truth().executions)
        control.switch(ServiceFaults.serializer(), ServiceFaults(crashAfterExecution = 1))
        assertIs<ServiceResult.Unknown>(call())
        assertEquals(mapOf("key-1" to 1), truth().byKey)
    }

    @Test
    fun `a client made elsewhere gives the same evidence`() {
        control.switch(ServiceFaults.serializer(), ServiceFaults(crashAfterExecution = 1))
        assertIs<ServiceResult.Unknown>(call(HttpPlainService(OkHttpClient(), control.address)))
        assertIs<ServiceResult.Unreachable>(call(HttpPlainService(OkHttpClient(), closedAddress())))
    }

    @Test
    fun `an answer that is too late leaves the outcome unknown`() {
        control.switch(ServiceFaults.serializer(), ServiceFaults(answerDelayMilliseconds = 10_000))
        assertIs<ServiceResult.Unknown>(call(timeout = 300.milliseconds))
        assertEquals(1, truth().executions)
    }

    @Test
    fun `nothing reaches an address on which nothing listens`() {
        assertIs<ServiceResult.Unreachable>(call(HttpPlainService(StandInClient.CLIENT, closedAddress())))
    }

    @Test
    fun `a header that HTTP does not allow is not sent`() {
        assertIs<ServiceResult.Unreachable>(call(headers = persistentListOf(HttpField("X-Note", "a\r\nX-Other: b"))))
        assertEquals(0, truth().executions)
    }

    @Test
    fun `an answer that asks to come back at once is not repeated by the client`() {
        val calls = AtomicInteger()
        val server =
            StandInServer("127.0.0.1", 0) { config ->
                config.routes.get("/orders") { context ->
                    calls.incrementAndGet()
                    context.status(503).header("Retry-After", "0")
                }
            }
        server.use {
            val target = HttpPlainService(StandInClient.CLIENT, "http://127.0.0.1:${server.start()}")
            val answered = assertIs<ServiceResult.Answered>(call(target, method = "GET"))
            assertEquals(503, answered.status)
            assertEquals(1, calls.get())
        }
    }

    private fun truth() = control.truth(ServiceTruth.serializer())

    private fun call(
        target: PlainService = service,
        method: String = "POST",
        headers: PersistentList<HttpField> = persistentListOf(),
        timeout: Duration = 10.seconds,
    ): ServiceResult {
        val body = if (method == "POST") "order".encodeToByteArray() else ByteArray(0)
        return target.call(
            ServiceCall(
                RequestIdentifier("request-1"),
                AttemptNumber.FIRST,
                method,
                "/orders",
                headers,
                body,
                "key-1",
                timeout,
            ),
        )
    }
}
