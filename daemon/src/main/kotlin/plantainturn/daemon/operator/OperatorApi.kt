package plantainturn.daemon.operator

import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import plantainturn.daemon.caller.RequestIdentifiers
import plantainturn.daemon.http.BearerToken
import plantainturn.daemon.http.ResultWriter
import plantainturn.process.ResultCode

/** The HTTP interface for operators, on the control address. Every call needs the operators' token. */
internal class OperatorApi(
    private val tokenSha256: String,
    private val configuration: ConfigurationEndpoint,
    private val dumpSources: List<DumpSource>,
    private val identifiers: RequestIdentifiers,
) {
    private val json = Json { prettyPrint = true }

    /** Adds the routes for operators to [config]. */
    fun register(config: JavalinConfig) {
        config.routes.get("/configuration") { context -> guarded(context) { configuration.show(context, it) } }
        config.routes.patch("/configuration") { context -> guarded(context) { configuration.patch(context, it) } }
        config.routes.get("/dump") { context -> guarded(context) { dump(context) } }
    }

    private fun guarded(
        context: Context,
        serve: (plantainturn.request.RequestIdentifier) -> Unit,
    ) {
        val identifier = identifiers.next()
        val token = BearerToken.of(context)
        if (token != null && token.matchesSha256(tokenSha256)) {
            serve(identifier)
        } else {
            ResultWriter.writeError(context, identifier, ResultCode.NOT_PERMITTED, "")
        }
    }

    private fun dump(context: Context) {
        val section = context.queryParam("section")
        val chosen = dumpSources.filter { section == null || it.section == section }
        context.contentType("application/json")
        context.result(json.encodeToString(JsonObject(chosen.associate { it.section to it.dump() })))
    }
}
