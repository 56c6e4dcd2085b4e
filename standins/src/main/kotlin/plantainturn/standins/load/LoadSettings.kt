package plantainturn.standins.load

import kotlinx.serialization.Serializable

/**
 * Settings of [LoadRun].
 *
 * @property nodes base URLs at which callers reach the nodes
 * @property teamKey the key that is sent as a bearer token
 * @property models the models and adapters that are asked, the first ones more often
 * @property requestsPerSecond requests for answers that begin in a second, on average
 * @property seconds how long requests begin
 * @property maximumTokens the tokens of the longest answer
 * @property service the plain service that is called, none if null
 * @property callsPerSecond calls that begin in a second, on average
 * @property repeatShare the share of calls that are sent again with the same key to another node
 * @property serviceTruths base URLs of the service stand-ins, whose executions are counted at the end
 * @property maximumInFlight requests in flight beyond which arrivals are dropped and counted
 */
@Serializable
public data class LoadSettings(
    val nodes: List<String>,
    val teamKey: String = "",
    val models: List<String> = emptyList(),
    val requestsPerSecond: Double = 10.0,
    val seconds: Int = 10,
    val seed: Long = 1,
    val maximumTokens: Int = 64,
    val service: String? = null,
    val callsPerSecond: Double = 0.0,
    val repeatShare: Double = 0.2,
    val serviceTruths: List<String> = emptyList(),
    val timeoutMilliseconds: Long = 30_000,
    val maximumInFlight: Int = 512,
)
