package plantainturn.daemon.node

import okhttp3.OkHttpClient
import plantainturn.connection.engine.HttpModelEngine
import plantainturn.connection.engine.ModelEngine
import plantainturn.connection.service.HttpPlainService
import plantainturn.connection.service.PlainService
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.configuration.UpstreamSpecification
import java.util.concurrent.ConcurrentHashMap

/** Keeps one client for each upstream address. */
internal class UpstreamConnections(
    private val client: OkHttpClient,
) {
    private val engines = ConcurrentHashMap<String, ModelEngine>()
    private val services = ConcurrentHashMap<String, PlainService>()

    /** Returns the engine [name]. */
    @Suppress("UnusedParameter")
    fun engine(
        name: UpstreamName,
        specification: UpstreamSpecification,
    ): ModelEngine = engines.computeIfAbsent(specification.address) { HttpModelEngine(client, it) }

    /** Returns the plain service that runs on [name]. */
    @Suppress("UnusedParameter")
    fun service(
        name: UpstreamName,
        specification: UpstreamSpecification,
    ): PlainService = services.computeIfAbsent(specification.address) { HttpPlainService(client, it) }
}
