package plantainturn.process.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import plantainturn.process.membership.internal.GossipTable
import plantainturn.process.membership.internal.MemberProber
import plantainturn.process.membership.internal.MessageComposer
import plantainturn.process.membership.internal.OwnEntry
import plantainturn.process.membership.internal.PeerChoice
import plantainturn.process.membership.internal.PeerLink
import plantainturn.process.membership.internal.Suspicions
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
 * Membership by bounded gossip in the manner of SWIM.
 *
 * Each period this node exchanges one message with the member whose turn it is. A member that does not answer, neither
 * to this node nor to a few others, is suspected, and counted as dead unless it contradicts in time by raising its
 * incarnation. News travels on these messages, whose size is bounded; what a node missed it gets by synchronisation
 * with a peer now and then.
 *
 * @param addresses gives further addresses at which nodes may be, such as those of the VM list; must not block
 * @param configurationVersion gives the version in force at this node
 * @param process a random number that tells this process from earlier ones of the same node
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

    private val own =
        OwnEntry(GossipEntry.Membership(self, 1, MemberState.ALIVE, settings.address, settings.failureDomain))
    private val table = GossipTable()
    private val composer = MessageComposer(table, timer, settings.messageBytes)
    private val link =
        PeerLink(transport, composer, own, configurationVersion, settings.probeTimeout, ::take) {
            table.get(it) !=
                null
        }
    private val suspicions = Suspicions()
    private val choice = PeerChoice(self, random)
    private val prober = MemberProber(settings, link, table, choice, ::members, ::merge)
    private val listeners = CopyOnWriteArrayList<MembershipListener>()
    private val present = AtomicReference<PersistentList<Member>>(persistentListOf())
    private val highestVersion = AtomicReference(ConfigurationVersion.NONE)
    private val urgentLeft = AtomicInteger(URGENT_BURST)
    private var lastTick = timer.now()
    private var ticks = 0
    private var subscription: TimerSubscription? = null

    @Volatile
    private var closed = false

    init {
        merge(own.current())
    }

    /** Begins to talk to the other nodes. */
    public fun start() {
        subscription = timer.subscribe(settings.period, ::tick)
        contact()
    }

    /** Tells some members that this node goes, so that the others need not find out. */
    public fun leave() {
        val entry = own.leave()
        merge(entry)
        tellSome()
    }

    /** Ends all activity. Members that did not hear of [leave] will suspect this node. */
    override fun close() {
        closed = true
        link.close()
        subscription?.cancel()
    }

    override fun members(): PersistentList<Member> = present.get()

    override fun subscribe(listener: MembershipListener) {
        listeners += listener
    }

    override fun publish(value: GossipValue): PublishResult {
        val entry = GossipEntry.Published(self, own.nextCounter(), value)
        if (table.fresh(entry.key, timer.now()) == value) return PublishResult.Published
        val bytes = GossipJson.bytesOf(entry)
        if (bytes > composer.valueLimit) return PublishResult.TooLarge(bytes, composer.valueLimit)
        merge(entry)
        return PublishResult.Published
    }

    override fun <V : GossipValue> values(kind: KClass<V>): PersistentList<HeardValue<V>> {
        val identifiers = members().map { it.identifier }.toSet()
        return table
            .all()
            .mapNotNull { (entry, publishedAt) -> heard(kind, entry, publishedAt) }
            .filter { it.member in identifiers }
            .toPersistentList()
    }

    /**
     * Takes a peer's message and gives the answer to [onAnswer], at once or after a member was tried for the peer.
     *
     * The peer's right to send it has been checked before.
     */
    public fun receive(
        message: GossipMessage,
        onAnswer: (GossipMessage) -> Unit,
    ) {
        take(message)
        val probe = message.probe
        if (probe == null) {
            onAnswer(link.answerTo(message, null))
        } else {
            prober.probeFor(probe) { onAnswer(link.answerTo(message, it)) }
        }
    }

    private fun tick() {
        if (closed) return
        val now = timer.now()
        val gap = now - lastTick - settings.period
        lastTick = now
        ticks++
        link.beginPeriod()
        urgentLeft.updateAndGet { (it + 1).coerceAtMost(URGENT_BURST) }
        if (gap > settings.period * PAUSE_PERIODS) suspicions.restart(now + suspicionTime()) else bury(now)
        table.expire(now)
        suspicions.forgotten(now).forEach { table.forget(it, wholly = true) }
        if (ticks % settings.syncPeriods == 0) link.syncDue = true
        val probed = prober.probeNext(suspectedFirst = ticks % 2 == 0)
        if (!probed || ticks % settings.contactPeriods == 0) contact()
    }

    private fun bury(now: Moment) {
        suspicions.expired(now).forEach { merge(it.copy(state = MemberState.DEAD)) }
    }

    /** Tries an address at which no member is believed to be. */
    private fun contact() {
        val taken = members().map { it.address }.toSet()
        val gone =
            table
                .all()
                .map { it.first }
                .filterIsInstance<GossipEntry.Membership>()
                .map { it.address }
        val candidates = (settings.seeds + addresses() + gone).distinct() - taken
        val address = choice.one(candidates) ?: return
        link.exchange(address, link.request(null)) {}
    }

    private fun take(message: GossipMessage) {
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
        val contradiction = if (entry.member == self) own.contradict(entry) else null
        if (contradiction != null) {
            table.merge(contradiction, repeats(), now)
            return
        }
        val news = entry.state.present || table.get(entry.key) != null
        if (!news || !table.merge(entry, repeats(), now)) return
        when (entry.state) {
            MemberState.ALIVE -> suspicions.clear(entry.member)
            MemberState.SUSPECT -> suspicions.suspect(entry, now + suspicionTime())
            MemberState.DEAD, MemberState.LEFT -> {
                suspicions.bury(entry.member, now + settings.memory)
                table.forget(entry.member, wholly = false)
            }
        }
        present.set(presentMembers())
        listeners.forEach(MembershipListener::onMembersChanged)
    }

    private fun mergeValue(entry: GossipEntry.Published) {
        val member = table.get(GossipEntry.keyOf(entry.member)) as? GossipEntry.Membership
        if (member == null || !member.state.present) return
        val now = timer.now()
        if (!table.merge(entry, repeats(), now)) return
        val publishedAt = now - entry.ageMilliseconds.milliseconds
        val heard = HeardValue(entry.member, entry.value, publishedAt)
        listeners.forEach { it.onHeard(heard) }
        if (entry.value.urgent) passOn()
    }

    private fun passOn() {
        if (urgentLeft.getAndUpdate { (it - 1).coerceAtLeast(0) } == 0) return
        tellSome()
    }

    private fun tellSome() {
        val some = choice.several(members(), settings.urgentFanOut, self)
        some.forEach { link.exchange(it.address, link.news(it.identifier)) {} }
    }

    private fun presentMembers(): PersistentList<Member> =
        table
            .all()
            .map { it.first }
            .filterIsInstance<GossipEntry.Membership>()
            .filter { it.state.present }
            .map { Member(it.member, it.address, it.failureDomain, it.state == MemberState.SUSPECT) }
            .toPersistentList()

    private fun <V : GossipValue> heard(
        kind: KClass<V>,
        entry: GossipEntry,
        publishedAt: Moment,
    ): HeardValue<V>? {
        val published = entry as? GossipEntry.Published ?: return null
        if (!kind.isInstance(published.value)) return null
        @Suppress("UNCHECKED_CAST")
        return HeardValue(published.member, published.value as V, publishedAt)
    }

    /** A node that has just joined knows few members and must not conclude that there are few. */
    private fun repeats(): Int = ceil(ln(maxOf(members().size, FEWEST_MEMBERS) + 2.0) / ln(2.0)).toInt() + EXTRA_REPEATS

    private fun suspicionTime(): Duration =
        settings.period * settings.suspicionPeriods * maxOf(1.0, log10(members().size.toDouble()))

    private companion object {
        const val URGENT_BURST = 4
        const val EXTRA_REPEATS = 2
        const val PAUSE_PERIODS = 3
        const val FEWEST_MEMBERS = 14
    }
}
