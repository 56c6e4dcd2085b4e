package plantainturn.daemon.settings

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import plantainturn.version.document.DocumentFault
import plantainturn.version.document.FaultCollector
import plantainturn.version.document.ObjectChecker

/** Reads and checks the settings of a node. */
public object NodeSettingsReader {
    private val PORTS = 0L..65_535L
    private val TIMEOUT_MILLISECONDS = 10L..60_000L
    private val BODY_BYTES = 1_024L..67_108_864L
    private val BODY_MILLISECONDS = 100L..120_000L
    private val REQUESTS = 1L..10_000L
    private val DEADLINE_MILLISECONDS = 100L..3_600_000L
    private val TERM_MILLISECONDS = 500L..300_000L
    private val DRIFT_MILLISECONDS = 10L..60_000L
    private val DELAY_MILLISECONDS = 0L..600_000L
    private val STOP_MILLISECONDS = 0L..3_600_000L
    private const val MILLISECONDS = "milliseconds"
    private const val URL_FORM = "a URL such as http://10.0.0.1:8000, with an IP number"
    private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
    private val IP_ADDRESS = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9A-Fa-f:]*:[0-9A-Fa-f:.]*")
    private val URL = Regex("https?://([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9A-Fa-f:.]+])(:[0-9]{1,5})?/?")
    private val SHA256 = Regex("[0-9a-f]{64}")
    private val TOKEN = Regex("\\S{16,256}")

    /** Reads settings from the JSON [text] and names every fault in it. */
    public fun read(text: String): SettingsResult {
        val element =
            try {
                Json.parseToJsonElement(text)
            } catch (exception: SerializationException) {
                return invalid("$", "is not JSON: ${exception.message?.lineSequence()?.first()}")
            }
        if (element !is JsonObject) return invalid("$", "must be an object")
        val faults = check(element)
        if (faults.isNotEmpty()) return SettingsResult.Invalid(faults.toPersistentList())
        return decode(element)
    }

    private fun invalid(
        path: String,
        problem: String,
    ) = SettingsResult.Invalid(persistentListOf(DocumentFault(path, problem)))

    private fun decode(element: JsonElement): SettingsResult =
        try {
            SettingsResult.Valid(Json.decodeFromJsonElement(NodeSettings.serializer(), element))
        } catch (exception: SerializationException) {
            invalid("$", exception.message ?: "cannot be read")
        }

    private fun check(root: JsonObject): List<DocumentFault> {
        val faults = FaultCollector()
        val checker = ObjectChecker("$", root, faults)
        checkIdentity(checker)
        checkListeners(checker)
        checkPlatform(checker, faults)
        checkLimits(checker)
        checkLease(checker)
        checkStop(checker)
        checker.reportUnknownFields()
        return faults.faults
    }

    private fun checkIdentity(root: ObjectChecker) {
        root.text("name", NAME, "a name of letters, digits, '.', '_' and '-'", required = true)
        root.text("failureDomain", NAME, "a name of letters, digits, '.', '_' and '-'", required = true)
        root.text("region", NAME, "a name of letters, digits, '.', '_' and '-'", required = true)
        root.text("shard", NAME, "a name of letters, digits, '.', '_' and '-'", required = true)
        root.text("operatorTokenSha256", SHA256, "a SHA-256 of 64 lower-case hexadecimal digits", required = true)
        root.text("peerToken", TOKEN, "a token of 16 to 256 characters without spaces", required = true)
    }

    private fun checkListeners(root: ObjectChecker) {
        for (name in listOf("callers", "control")) {
            root.nested(name, required = true) { listener ->
                listener.text("address", IP_ADDRESS, "an IP number", required = true)
                listener.integer("port", PORTS, "TCP ports", required = true)
            }
        }
    }

    private fun checkPlatform(
        root: ObjectChecker,
        faults: FaultCollector,
    ) {
        for (name in listOf("log", "vmList")) {
            root.nested(name, required = true) { platform ->
                platform.text("url", URL, URL_FORM, required = true)
                platform.integer("timeoutMilliseconds", TIMEOUT_MILLISECONDS, MILLISECONDS)
            }
        }
        root.texts("peers", required = false) { path, peer ->
            if (!URL.matches(peer)) faults.add(path, "must be $URL_FORM, is \"$peer\"")
        }
    }

    private fun checkLimits(root: ObjectChecker) {
        root.nested("limits") { limits ->
            limits.integer("bodyBytes", BODY_BYTES, "bytes")
            limits.integer("bodyMilliseconds", BODY_MILLISECONDS, MILLISECONDS)
            limits.integer("requestsInFlight", REQUESTS, "requests")
            limits.integer("deadlineMilliseconds", DEADLINE_MILLISECONDS, MILLISECONDS)
        }
    }

    private fun checkLease(root: ObjectChecker) {
        root.nested("lease") { lease ->
            lease.integer("termMilliseconds", TERM_MILLISECONDS, MILLISECONDS)
            lease.integer("driftMarginMilliseconds", DRIFT_MILLISECONDS, MILLISECONDS)
            lease.integer("orderDelayBoundMilliseconds", DELAY_MILLISECONDS, MILLISECONDS)
        }
    }

    private fun checkStop(root: ObjectChecker) {
        root.nested("stop") { stop ->
            stop.integer("balancerLagMilliseconds", STOP_MILLISECONDS, MILLISECONDS)
            stop.integer("limitMilliseconds", STOP_MILLISECONDS, MILLISECONDS)
        }
    }
}
