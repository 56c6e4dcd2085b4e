package plantainturn.standins

import kotlinx.serialization.Serializable
import plantainturn.connection.engine.Resident

/**
 * Settings of [EngineStandIn].
 *
 * @property port 0 lets the system pick one
 * @property memoryMegabytes accelerator memory
 * @property cacheReserveMegabytes accelerator memory of the KV cache, which weights must leave free
 * @property concurrency requests that run at once
 * @property queueLimit requests that may wait beyond those; one more is refused as not run
 * @property firstTokenMilliseconds the time to the first token of a prompt that is cached whole
 * @property promptMicrosecondsPerCharacter the time that each character adds that is not cached
 * @property tokenMilliseconds the time between tokens when one request runs
 * @property batchSlowdown how many times longer that takes, in addition, when all slots are taken
 * @property naturalTokens tokens after which an answer ends by itself
 * @property reportLagMilliseconds the age of the reports that it gives
 * @property refusesOldFences whether orders with a fence below the highest seen are refused
 * @property weightStoreAddress base URL of a [WeightStoreStandIn], null if loads take a fixed time
 * @property modelLoadMilliseconds how long the load of a model takes without a weight store
 * @property adapterLoadMilliseconds how long the load of an adapter takes without a weight store
 * @property cachedPrefixes prefixes that the cache holds
 * @property cacheEventLagMilliseconds how late cache events are
 * @property cacheEventGapEvery one in so many cache events is lost, none if 0
 * @property crashMarker a prompt that holds it crashes the engine
 * @property haltOnCrash whether a crash ends the process; otherwise the engine starts again by itself
 * @property restartMilliseconds how long that takes
 * @property residents what is resident at the start, and after a crash
 */
@Serializable
public data class EngineStandInSettings(
    val name: String = "engine",
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val memoryMegabytes: Long = 80_000,
    val cacheReserveMegabytes: Long = 0,
    val concurrency: Int = 16,
    val queueLimit: Int = 64,
    val firstTokenMilliseconds: Long = 30,
    val promptMicrosecondsPerCharacter: Long = 20,
    val tokenMilliseconds: Long = 10,
    val batchSlowdown: Double = 0.0,
    val naturalTokens: Int = Int.MAX_VALUE,
    val reportLagMilliseconds: Long = 200,
    val refusesOldFences: Boolean = false,
    val weightStoreAddress: String? = null,
    val modelLoadMilliseconds: Long = 500,
    val adapterLoadMilliseconds: Long = 10,
    val cachedPrefixes: Int = 1_000,
    val cacheEventLagMilliseconds: Long = 200,
    val cacheEventGapEvery: Int = 50,
    val crashMarker: String = "<<crash>>",
    val haltOnCrash: Boolean = false,
    val restartMilliseconds: Long = 1_000,
    val residents: List<Resident> = emptyList(),
)
