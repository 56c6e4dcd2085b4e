package plantainturn.standins.load

import okhttp3.OkHttpClient
import okhttp3.Request
import plantainturn.connection.http.HttpClients
import plantainturn.process.time.TimerService
import plantainturn.standins.ServiceTruth
import plantainturn.standins.internal.StandInServer
import plantainturn.standins.load.internal.AnswerOutcome
import plantainturn.standins.load.internal.Arrivals
import plantainturn.standins.load.internal.EndedCall
import plantainturn.standins.load.internal.EndedRequest
import plantainturn.standins.load.internal.LoadClient
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Puts a load on nodes whose upstreams are stand-ins, and checks each answer whole.
 *
 * Requests begin at moments drawn in advance, whether or not earlier ones have ended. The same seed gives the same
 * requests at the same moments.
 */
public class LoadRun(
    private val settings: LoadSettings,
    private val timer: TimerService,
) {
    private val client: OkHttpClient =
        HttpClients
            .create()
            .newBuilder()
            .readTimeout(settings.timeoutMilliseconds, TimeUnit.MILLISECONDS)
            .build()
    private val sender = LoadClient(settings, client, timer)
    private val threads =
        ThreadPoolExecutor(0, settings.maximumInFlight, IDLE_SECONDS, TimeUnit.SECONDS, SynchronousQueue())
    private val requests = ConcurrentLinkedQueue<EndedRequest>()
    private val calls = ConcurrentLinkedQueue<EndedCall>()
    private val dropped = AtomicInteger()

    /** Runs the load to its end and returns what came of it. Blocks. */
    public fun run(): LoadSummary {
        val random = Random(settings.seed)
        val length = settings.seconds.seconds
        val planned =
            plan(random, settings.requestsPerSecond.takeIf { settings.models.isNotEmpty() }, length, ::request) +
                plan(random, settings.callsPerSecond.takeIf { settings.service != null }, length, ::call)
        val open = CountDownLatch(planned.size)
        planned.forEach { (at, work) -> timer.schedule(at) { begin(work, open) } }
        open.await()
        threads.shutdown()
        return summary()
    }

    private fun plan(
        random: Random,
        perSecond: Double?,
        length: Duration,
        make: (Random, Int) -> () -> Unit,
    ): List<Pair<Duration, () -> Unit>> =
        Arrivals.draw(random, perSecond ?: 0.0, length).mapIndexed { index, at -> at to make(random, index) }

    private fun begin(
        work: () -> Unit,
        open: CountDownLatch,
    ) {
        try {
            threads.execute {
                try {
                    work()
                } finally {
                    open.countDown()
                }
            }
        } catch (_: RejectedExecutionException) {
            dropped.incrementAndGet()
            open.countDown()
        }
    }

    private fun request(
        random: Random,
        index: Int,
    ): () -> Unit {
        val node = settings.nodes.random(random)
        val model = settings.models[minOf(random.nextInt(settings.models.size), random.nextInt(settings.models.size))]
        val tokens = random.nextInt(1, settings.maximumTokens + 1)
        val prompt = "request $index of ${settings.seed} " + "word ".repeat(random.nextInt(MAXIMUM_WORDS))
        return { requests += sender.complete(node, model, prompt, tokens) }
    }

    private fun call(
        random: Random,
        index: Int,
    ): () -> Unit {
        val key = "load-${settings.seed}-$index"
        val node = settings.nodes.random(random)
        val other = settings.nodes.random(random)
        val repeats = random.nextDouble() < settings.repeatShare
        return {
            calls += sender.call(node, key)
            if (repeats) calls += sender.call(other, key)
        }
    }

    private fun summary(): LoadSummary {
        val executions = executions()
        val answeredKeys = calls.filter { it.outcome == AnswerOutcome.ANSWERED }.map { it.key }.toSet()
        val unexecuted = if (settings.serviceTruths.isEmpty()) 0 else answeredKeys.count { it !in executions }
        return LoadSummary(
            seed = settings.seed,
            requests = requests.size,
            answered = requests.count { it.outcome == AnswerOutcome.ANSWERED },
            wrong = requests.count { it.outcome == AnswerOutcome.WRONG },
            notRun = requests.count { it.outcome == AnswerOutcome.NOT_RUN },
            failed = requests.count { it.outcome == AnswerOutcome.FAILED },
            unknown = requests.count { it.outcome == AnswerOutcome.UNKNOWN },
            dropped = dropped.get(),
            firstTokenMilliseconds = LatencySummary.of(requests.mapNotNull { it.firstTokenMilliseconds }),
            tokenGapMilliseconds = LatencySummary.of(requests.flatMap { it.gapsMilliseconds }),
            calls = calls.size,
            callsAnswered = calls.count { it.outcome == AnswerOutcome.ANSWERED },
            callsNotRun = calls.count { it.outcome == AnswerOutcome.NOT_RUN },
            callsUnknown = calls.count { it.outcome == AnswerOutcome.UNKNOWN },
            duplicateExecutions = executions.count { it.value > 1 },
            answeredUnexecuted = unexecuted,
            codes = (requests.map { it.code } + calls.map { it.code }).groupingBy { it }.eachCount().toSortedMap(),
        )
    }

    private fun executions(): Map<String, Int> =
        settings.serviceTruths
            .mapNotNull(::truthOf)
            .flatMap { it.byKey.entries }
            .groupingBy { it.key }
            .fold(0) { sum, entry -> sum + entry.value }

    private fun truthOf(address: String): ServiceTruth? =
        try {
            client.newCall(Request.Builder().url("$address/standin/truth").build()).execute().use {
                StandInServer.JSON.decodeFromString(ServiceTruth.serializer(), it.body.string())
            }
        } catch (_: IOException) {
            null
        }

    private companion object {
        const val IDLE_SECONDS = 5L
        const val MAXIMUM_WORDS = 100
    }
}
