package plantainturn.relay.node

import org.apache.logging.log4j.LogManager
import plantainturn.connection.store.StoreEra
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.relay.request.ConfigurationCurrency
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Knows when this node's configuration was last confirmed, and whether a peer has a later one that must be asked for.
 *
 * A node reads the store itself or relies on the issuer, which reports its own version and when the store last
 * answered it. A node that the store turns away hears by the same reports that a later version exists.
 *
 * @param currentAt returns the moment as of which this node has read the store's configuration, null if it never did
 * @param version returns the number of the configuration in force
 * @param era returns the era of the store in which it last answered
 */
internal class ConfigurationFreshness(
    private val timer: TimerService,
    private val currentAt: () -> Moment?,
    private val version: () -> Long,
    private val era: () -> StoreEra,
) : ConfigurationCurrency {
    private val logger = LogManager.getLogger("configuration")
    private var startedAt = timer.now()
    private var startedIn: StoreEra? = null
    private var latestHeard = ConfigurationWatch.NO_VERSION
    private var confirmedByPeerAt: Moment? = null
    private var laterSince: Moment? = null
    private var askedAt: Moment? = null

    /** The number of the latest configuration that this node has or has heard of. */
    val latestVersion: Long
        get() = maxOf(latestHeard, version())

    /** How old the store's configuration is that this node itself has read. */
    val storeAge: Duration?
        get() = currentAt()?.let { timer.now() - it }

    /**
     * Returns whether peers have confirmed the configuration, but not lately, so that this node must read it itself.
     *
     * @param allowance the time that peers may take beyond the age at which a confirmation is of no use
     */
    fun isPeerLate(allowance: Duration): Boolean =
        confirmedByPeerAt?.let { timer.now() - it > ConfigurationCurrency.MAXIMUM_DENIAL_AGE + allowance } ?: false

    /** The store may have come back from a copy that lacks a configuration; a node that starts hears of it by peers. */
    override val confirmationAge: Duration?
        get() {
            noteRestore()
            val own = currentAt()?.takeIf { isNeverRestored || hasPeerOrWaited }
            return listOfNotNull(own, confirmedByPeerAt).maxOrNull()?.let { timer.now() - it }
        }

    /** A store that was never restored lacks no configuration that it has acknowledged. */
    private val isNeverRestored: Boolean
        get() = era() == StoreEra.FIRST

    private val hasPeerOrWaited: Boolean
        get() = confirmedByPeerAt != null || timer.now() - startedAt >= PEER_PATIENCE

    override val isLaterKnown: Boolean
        get() = latestHeard > version()

    override val isSuperseded: Boolean
        get() = isLaterKnown && laterSince?.let { timer.now() - it in SUPERSEDED_AFTER..LONGEST_SUPERSEDED } ?: false

    /** A store that came back from a copy may lack a configuration, also for a node that has been running. */
    private fun noteRestore() {
        val current = era()
        if (current == startedIn) return
        if (startedIn != null) {
            startedAt = timer.now()
            confirmedByPeerAt = null
        }
        startedIn = current
    }

    /** A peer has, or has heard of, configuration [number]. */
    fun onVersion(number: Long) {
        if (number <= latestHeard) return
        if (!isLaterKnown) laterSince = timer.now()
        latestHeard = number
        if (isLaterKnown) logger.info("event=later-configuration-heard version={} current={}", number, version())
    }

    /** The store's configuration was [number] at [at], as a peer read it. */
    fun onConfirmed(
        number: Long,
        at: Moment,
    ) {
        noteRestore()
        if (number <= version()) confirmedByPeerAt = maxOf(confirmedByPeerAt ?: at, at)
    }

    /**
     * Returns whether to ask a peer for the later configuration now, as the store has not given it to this node in
     * time. Once that is so, the next request follows after a pause.
     */
    fun takeRequest(): Boolean {
        val now = timer.now()
        val since = laterSince
        if (!isLaterKnown || since == null || now - since < STORE_PATIENCE) return false
        if (askedAt?.let { now - it < REQUEST_PAUSE } == true) return false
        askedAt = now
        logger.info("event=configuration-requested version={} current={} known={}", latestHeard, version(), now - since)
        return true
    }

    private companion object {
        /** A node that hears of a later version usually reads it at the same time. */
        val STORE_PATIENCE = 400.milliseconds

        /** The store or a peer gives the later configuration sooner, unless this node is cut off or overloaded. */
        val SUPERSEDED_AFTER = 1.seconds

        /** A version that nobody has given by then may be lost: the store came back from a copy, and no node has it. */
        val LONGEST_SUPERSEDED = 6.seconds

        /** A node that starts finds the issuer sooner, if there is one. */
        val PEER_PATIENCE = 3.seconds

        /** A record of many accounts is large, so that one peer is asked at a time. */
        val REQUEST_PAUSE = 400.milliseconds
    }
}
