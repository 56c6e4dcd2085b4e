package plantainturn.process.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import plantainturn.process.membership.internal.GossipTable
import plantainturn.process.membership.internal.MemberProber
import plantainturn.process.membership.internal.MessageComposer
import plantainturn.process.membership.internal.OwnEntry
import plantainturn.process.membership.internal.PeerLink
import plantainturn.process.membership.internal.PeerSelector
import plantainturn.process.membership.internal.SuspicionTracker
import plantainturn.process.time.Moment
import plantainturn.process.time.TimerService
import plantainturn.process.time.TimerSubscription
import plantainturn.version.configuration.ConfigurationVersion
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.log10
import kotlin.random.Random
import kotlin.reflect.KClass
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Implements [Membership] with a gossip protocol in the style of SWIM.
 *
 * Each period this node exchanges one message with the next member. A member that answers neither this node nor a few
 * others (indirect probes) is suspected, and declared dead unless it refutes the suspicion in time by raising its
 * incarnation. Updates are piggybacked on these messages, whose size is bounded; periodic synchronisation with a peer
 * transfers the updates that a node missed.
 *
 * @param addresses returns further addresses of possible nodes, such as those of the VM list; must not block
 * @param configurationVersion returns the configuration version in force at this node
 * @param process a random number that distinguishes this process from earlier ones of the same node
 */
public class GossipMembership(
    private val settings: MembershipSettings,
    transport: PeerTransport,
    private val timer: TimerService,
    random: Random,
    private val addresses: () -> List<String> = { emptyList() },
    configurationVersion: () -> ConfigurationVersion = { ConfigurationVersion.NONE },
    process: Long = random.nextLong(),
) : Membership,
    AutoCloseable {
    override val self: MemberIdentifier = MemberIdentifier.of(settings.node, process)

    private val ownEntry =
        OwnEntry(GossipEntry.Membership(self, 1, MemberState.ALIVE, settings.address, settings.failureDomain))
    private val table = GossipTable()
    private val composer = MessageComposer(table, timer, settings.maximumMessageBytes)
    private val link =
        PeerLink(transport, composer, ownEntry, configurationVersion, settings.probeTimeout, ::handle) {
            table.get(it) !=
                null
        }
    private val suspicions = SuspicionTracker()
    private val peerSelector = PeerSelector(self, random)
    private val prober = MemberProber(settings, link, table, peerSelector, ::members, ::merge)
    private val listeners = CopyOnWriteArrayList<MembershipListener>()
    private val currentMembers = AtomicReference<PersistentList<Member>>(persistentListOf())
    private val highestVersion = AtomicReference(ConfigurationVersion.NONE)
    private val urgentBudget = AtomicInteger(URGENT_BURST)
    private var lastTick = timer.now()
    private var ticks = 0
    private var subscription: TimerSubscription? = null

    @Volatile
    private var closed = false

    init {
        merge(ownEntry.current())
    }

    /** Starts exchanging messages with other nodes. */
    public fun start() {
        subscription = timer.subscribe(settings.period, ::tick)
        contactUnknownAddress()
    }

    /** Announces to a few members that this node leaves, so that it need not be detected as failed. */
    public fun leave() {
        val entry = ownEntry.leave()
        merge(entry)
        pushUpdates()
    }

    /** Stops all activity. Members that have not received the announcement of [leave] will suspect this node. */
    override fun close() {
        closed = true
        link.close()
        subscription?.cancel()
    }

    override fun members(): PersistentList<Member> = currentMembers.get()

    override fun subscribe(listener: MembershipListener) {
        listeners += listener
    }

    override fun publish(value: GossipValue): PublishResult {
        val entry = GossipEntry.Published(self, ownEntry.nextCounter(), value)
        if (table.freshValue(entry.key, timer.now()) == value) return PublishResult.Published
        val bytes = GossipJson.bytesOf(entry)
        if (bytes > composer.maximumValueBytes) return PublishResult.TooLarge(bytes, composer.maximumValueBytes)
        merge(entry)
        return PublishResult.Published
    }

    override fun <V : GossipValue> values(kind: KClass<V>): PersistentList<ReceivedValue<V>> {
        val identifiers = members().map { it.identifier }.toSet()
        return table
            .all()
            .mapNotNull { (entry, publishedAt) -> receivedValue(kind, entry, publishedAt) }
            .filter { it.member in identifiers }
            .toPersistentList()
    }

    /**
     * Handles a peer's message and passes the answer to [onAnswer], immediately or after the requested probe.
     *
     * The caller must have authorised the peer.
     */
    public fun receive(
        message: GossipMessage,
        onAnswer: (GossipMessage) -> Unit,
    ) {
        handle(message)
        val probe = message.probe
        if (probe == null) {
            onAnswer(link.answerTo(message, null))
        } else {
            prober.probeForPeer(probe) { onAnswer(link.answerTo(message, it)) }
        }
    }

    private fun tick() {
        if (closed) return
        val now = timer.now()
        val gap = now - lastTick - settings.period
        lastTick = now
        ticks++
        link.beginPeriod()
        urgentBudget.updateAndGet { (it + 1).coerceAtMost(URGENT_BURST) }
        if (gap > settings.period * PAUSE_PERIODS) suspicions.extendAll(now + suspicionTime()) else declareDead(now)
        table.expire(now)
        suspicions.removeExpiredTombstones(now).forEach { table.removeMember(it, includingMembership = true) }
        if (ticks % settings.syncPeriods == 0) link.syncDue = true
        val probed = prober.probeNext(suspectedFirst = ticks % 2 == 0)
        if (!probed || ticks % settings.contactPeriods == 0) contactUnknownAddress()
    }

    private fun declareDead(now: Moment) {
        suspicions.removeExpired(now).forEach { merge(it.copy(state = MemberState.DEAD)) }
    }

    /** Sends a message to a random address at which no member is known. */
    private fun contactUnknownAddress() {
        val memberAddresses = members().map { it.address }.toSet()
        val formerAddresses =
            table
                .all()
                .map { it.first }
                .filterIsInstance<GossipEntry.Membership>()
                .map { it.address }
        val candidates = (settings.seeds + addresses() + formerAddresses).distinct() - memberAddresses
        val address = peerSelector.randomAddress(candidates) ?: return
        link.exchange(address, link.request(null)) {}
    }

    private fun handle(message: GossipMessage) {
        if (closed) return
        merge(message.sender)
        message.entries.forEach(::merge)
        val version = message.configurationVersion
        val before = highestVersion.getAndUpdate { maxOf(it, version) }
        if (version > before) listeners.forEach { it.onConfigurationVersion(version, message.sender.address) }
    }

    private fun merge(entry: GossipEntry) {
        when (entry) {
            is GossipEntry.Membership -> mergeMember(entry)
            is GossipEntry.Published -> mergeValue(entry)
        }
    }

    private fun mergeMember(entry: GossipEntry.Membership) {
        val now = timer.now()
        val refutation = if (entry.member == self) ownEntry.refute(entry) else null
        if (refutation != null) {
            table.merge(refutation, transmissionLimit(), now)
            return
        }
        val relevant = entry.state.present || table.get(entry.key) != null
        if (!relevant || !table.merge(entry, transmissionLimit(), now)) return
        when (entry.state) {
            MemberState.ALIVE -> suspicions.clear(entry.member)
            MemberState.SUSPECT -> suspicions.suspect(entry, now + suspicionTime())
            MemberState.DEAD, MemberState.LEFT -> {
                suspicions.markGone(entry.member, now + settings.tombstoneLifetime)
                table.removeMember(entry.member, includingMembership = false)
            }
        }
        currentMembers.set(presentMembers())
        listeners.forEach(MembershipListener::onMembersChanged)
    }

    private fun mergeValue(entry: GossipEntry.Published) {
        val member = table.get(GossipEntry.keyOf(entry.member)) as? GossipEntry.Membership
        if (member == null || !member.state.present) return
        val now = timer.now()
        if (!table.merge(entry, transmissionLimit(), now)) return
        val publishedAt = now - entry.ageMilliseconds.milliseconds
        val received = ReceivedValue(entry.member, entry.value, publishedAt)
        listeners.forEach { it.onValueReceived(received) }
        if (entry.value.urgent) forwardUrgent()
    }

    private fun forwardUrgent() {
        if (urgentBudget.getAndUpdate { (it - 1).coerceAtLeast(0) } == 0) return
        pushUpdates()
    }

    private fun pushUpdates() {
        val peers = peerSelector.randomPeers(members(), settings.urgentFanOut, self)
        peers.forEach { link.exchange(it.address, link.updates(it.identifier)) {} }
    }

    private fun presentMembers(): PersistentList<Member> =
        table
            .all()
            .map { it.first }
            .filterIsInstance<GossipEntry.Membership>()
            .filter { it.state.present }
            .map { Member(it.member, it.address, it.failureDomain, it.state == MemberState.SUSPECT) }
            .toPersistentList()

    private fun <V : GossipValue> receivedValue(
        kind: KClass<V>,
        entry: GossipEntry,
        publishedAt: Moment,
    ): ReceivedValue<V>? {
        val published = entry as? GossipEntry.Published ?: return null
        if (!kind.isInstance(published.value)) return null
        @Suppress("UNCHECKED_CAST")
        return ReceivedValue(published.member, published.value as V, publishedAt)
    }

    /**
     * Returns how often an entry is sent, which grows with the logarithm of the member count.
     *
     * The count has a minimum because a node that has just joined knows only some of the members.
     */
    private fun transmissionLimit(): Int =
        ceil(ln(maxOf(members().size, MINIMUM_ASSUMED_MEMBERS) + 2.0) / ln(2.0)).toInt() + EXTRA_TRANSMISSIONS

    private fun suspicionTime(): Duration =
        settings.period * settings.suspicionPeriods * maxOf(1.0, log10(members().size.toDouble()))

    private companion object {
        const val URGENT_BURST = 4
        const val EXTRA_TRANSMISSIONS = 2
        const val PAUSE_PERIODS = 3
        const val MINIMUM_ASSUMED_MEMBERS = 14
    }
}
