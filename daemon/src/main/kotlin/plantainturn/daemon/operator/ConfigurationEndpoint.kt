package plantainturn.daemon.operator

import io.javalin.http.Context
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import plantainturn.daemon.caller.RequestExecutor
import plantainturn.daemon.http.ResultWriter
import plantainturn.process.ResultCode
import plantainturn.process.time.TimerService
import plantainturn.request.RequestIdentifier
import plantainturn.version.configuration.ConfigurationPatch
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.configuration.ConfigurationSubmitter
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.configuration.NumberedConfiguration
import plantainturn.version.configuration.PatchIdentifier
import plantainturn.version.configuration.PatchResult
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.milliseconds

/** Shows the configuration in force and takes patches. */
internal class ConfigurationEndpoint(
    private val source: ConfigurationSource,
    private val submitter: ConfigurationSubmitter,
    private val timer: TimerService,
    private val executor: RequestExecutor,
) {
    private val json = Json { encodeDefaults = true }
    private val changes = ChangeSignal()

    init {
        source.subscribe { changes.signal() }
    }

    /** Answers with the configuration in force, at once or as soon as it is later than the query's `after`. */
    fun show(
        context: Context,
        identifier: RequestIdentifier,
    ) {
        val after = context.queryParam("after")?.toLongOrNull()
        val wait = context.queryParam("waitMilliseconds")?.toLongOrNull() ?: 0
        val awaited = changes.next()
        if (isLater(source.current, after) || wait <= 0) {
            writeCurrent(context, identifier, after)
        } else {
            context.future { waitFor(awaited, wait).thenRun { writeCurrent(context, identifier, after) } }
        }
    }

    /** Submits the patch in the request's body. */
    fun patch(
        context: Context,
        identifier: RequestIdentifier,
    ) {
        val version = versionOf(context)
        if (version == null) {
            ResultWriter.writeError(context, identifier, ResultCode.VERSION_MISSING, "")
            return
        }
        val document = documentOf(context)
        if (document == null) {
            ResultWriter.writeError(
                context,
                identifier,
                ResultCode.MALFORMED_REQUEST,
                "the patch must be a JSON object",
            )
            return
        }
        val name = context.header(PATCH_IDENTIFIER_HEADER) ?: identifier.value
        val operator = context.header(OPERATOR_HEADER) ?: "operator"
        val patch = ConfigurationPatch(PatchIdentifier(name), version, document, operator)
        context.future {
            executor.submit { writeResult(context, identifier, submitter.submit(patch)) }
                ?: refuseBusy(context, identifier)
        }
    }

    private fun isLater(
        current: NumberedConfiguration?,
        after: Long?,
    ): Boolean = current != null && (after == null || current.version.number > after)

    private fun waitFor(
        change: CompletableFuture<Unit>,
        waitMilliseconds: Long,
    ): CompletableFuture<Unit> {
        val end = CompletableFuture<Unit>()
        val limit = waitMilliseconds.coerceAtMost(LONGEST_WAIT_MILLISECONDS).milliseconds
        val timeout = timer.schedule(limit) { end.complete(Unit) }
        change.thenRun {
            timeout.cancel()
            end.complete(Unit)
        }
        return end
    }

    private fun writeCurrent(
        context: Context,
        identifier: RequestIdentifier,
        after: Long?,
    ) {
        val current = source.current
        when {
            current == null -> ResultWriter.writeError(context, identifier, ResultCode.NOT_READY, "")
            !isLater(current, after) -> context.status(HTTP_NOT_MODIFIED)
            else -> {
                ResultWriter.writeHeaders(context, identifier, ResultCode.ANSWERED)
                context.header(VERSION_HEADER, "\"${current.version}\"")
                context.contentType(JSON_TYPE)
                context.result(json.encodeToString(NumberedConfiguration.serializer(), current))
            }
        }
    }

    private fun versionOf(context: Context): ConfigurationVersion? =
        context
            .header("If-Match")
            ?.trim('"')
            ?.toLongOrNull()
            ?.let(::ConfigurationVersion)

    private fun documentOf(context: Context): JsonObject? =
        try {
            Json.parseToJsonElement(context.body()) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

    private fun writeResult(
        context: Context,
        identifier: RequestIdentifier,
        result: PatchResult,
    ) {
        when (result) {
            is PatchResult.Accepted -> {
                ResultWriter.writeHeaders(context, identifier, ResultCode.CONFIGURATION_ACCEPTED)
                context.header(VERSION_HEADER, "\"${result.version}\"")
                context.contentType(JSON_TYPE)
                context.result("""{"version":${result.version}}""")
            }
            is PatchResult.Refused -> {
                context.header(VERSION_HEADER, "\"${result.current}\"")
                ResultWriter.writeError(context, identifier, result.code, refusalOf(result))
            }
            is PatchResult.Unknown ->
                ResultWriter.writeError(context, identifier, ResultCode.CONFIGURATION_UNKNOWN, result.reason)
        }
    }

    private fun refusalOf(result: PatchResult.Refused): String {
        val faults = result.faults.joinToString("; ") { "${it.path}: ${it.problem}" }
        val version = "the version in force is ${result.current}"
        return if (faults.isEmpty()) "${result.code.summary} $version" else "$faults; $version"
    }

    private fun refuseBusy(
        context: Context,
        identifier: RequestIdentifier,
    ): CompletableFuture<Void> {
        ResultWriter.writeError(context, identifier, ResultCode.OVERLOADED, "")
        return CompletableFuture.completedFuture(null)
    }

    private companion object {
        const val VERSION_HEADER = "ETag"
        const val PATCH_IDENTIFIER_HEADER = "X-Patch-Identifier"
        const val OPERATOR_HEADER = "X-Operator"
        const val JSON_TYPE = "application/json"
        const val HTTP_NOT_MODIFIED = 304
        const val LONGEST_WAIT_MILLISECONDS = 30_000L
    }
}
