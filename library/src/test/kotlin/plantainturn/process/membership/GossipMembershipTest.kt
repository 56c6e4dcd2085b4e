package plantainturn.process.membership

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import plantainturn.process.membership.InMemoryPeers.Companion.address
import plantainturn.request.quarantine.QuarantineEntry
import plantainturn.request.quarantine.RequestFingerprint
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.configuration.FailureDomain
import plantainturn.version.configuration.ModelName
import plantainturn.version.configuration.UpstreamName
import plantainturn.version.placement.ModelDemand
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class GossipMembershipTest {
    private val peers = InMemoryPeers()
    private val timer = peers.timer

    @Test
    fun `members that join through one seed learn of each other and their values`() {
        startAll(8)
        peers.running.values.forEach { it.publish(GossipValue.NodeStatus(ready = true)) }
        timer.advance(20.seconds)
        assertTrue(peers.agree(), "${peers.views()}")
        peers.running.values.forEach { assertEquals(8, it.values(GossipValue.NodeStatus::class).size) }
    }

    @Test
    fun `a member that dies is suspected and then removed with its values`() {
        startSettled(8)
        peers.running.values.forEach { it.publish(GossipValue.NodeStatus(ready = true)) }
        timer.advance(15.seconds)
        peers.kill(address(3))
        timer.advance(30.seconds)
        assertTrue(peers.agree(), "${peers.views()}")
        peers.running.values.forEach { assertEquals(7, it.values(GossipValue.NodeStatus::class).size) }
    }

    @Test
    fun `a suspected member refutes the suspicion and stays`() {
        startSettled(6)
        val removed = watchRemovals(address(3))
        peers.addedLatency[address(3)] = 300.milliseconds
        timer.advance(3.seconds)
        assertTrue(peers.running.values.any { member -> member.members().any { it.suspected } })
        peers.addedLatency.clear()
        timer.advance(20.seconds)
        assertFalse(removed())
        assertTrue(peers.running.values.none { member -> member.members().any { it.suspected } })
    }

    @Test
    fun `a member that one other cannot reach stays because indirect probes succeed`() {
        startSettled(6)
        val removed = watchRemovals(address(3))
        peers.isCut = { from, to -> setOf(from, to) == setOf(address(1), address(3)) }
        timer.advance(30.seconds)
        assertFalse(removed())
        assertTrue(peers.running.values.none { member -> member.members().any { it.suspected } })
    }

    @Test
    fun `both sides of a partition keep running and merge again after it heals`() {
        startSettled(6)
        peers.isCut = { from, to -> (from < address(3)) != (to < address(3)) }
        timer.advance(40.seconds)
        assertEquals(
            setOf(3),
            peers
                .views()
                .values
                .map { it.size }
                .toSet(),
        )
        timer.advance(10.minutes)
        peers.isCut = { _, _ -> false }
        timer.advance(60.seconds)
        assertTrue(peers.agree(), "${peers.views()}")
    }

    @Test
    fun `a member that was paused does not declare members dead that it suspected before`() {
        startSettled(6)
        val paused = peers.running.getValue(address(2))
        val removed = watchRemovals(address(4))
        peers.addedLatency[address(4)] = 300.milliseconds
        while (paused.members().none { it.suspected }) timer.advance(100.milliseconds)
        peers.addedLatency.clear()
        peers.frozen += address(2)
        timer.advance(15.seconds)
        peers.frozen.clear()
        timer.advance(30.seconds)
        assertFalse(removed())
        assertTrue(peers.agree(), "${peers.views()}")
    }

    @Test
    fun `a value expires after its lifetime unless its member publishes it again`() {
        startSettled(3)
        val (first, second) = peers.running.values.toList()
        val republishing = timer.subscribe(10.seconds) { second.publish(sends("b")) }
        first.publish(sends("a"))
        timer.advance(90.seconds)
        republishing.cancel()
        for (member in peers.running.values) {
            assertEquals(listOf(sends("b")), member.values(GossipValue.RecentSends::class).map { it.value })
        }
    }

    @Test
    fun `all members restart at the same time`() {
        startSettled(8)
        val before = peers.running.values.map { it.self }
        peers.running.keys
            .toList()
            .forEach(peers::kill)
        startAll(8)
        timer.advance(40.seconds)
        assertTrue(peers.agree(), "${peers.views()}")
        val known =
            peers.running.values
                .flatMap { member -> member.members().map { it.identifier } }
                .toSet()
        assertTrue(known.intersect(before.toSet()).isEmpty())
    }

    @Test
    fun `members are replaced one by one`() {
        startSettled(8)
        for (number in 0 until 8) {
            peers.kill(address(number))
            peers.start(address(number + 20), seeds = listOf(address(7), address(20)))
            timer.advance(10.seconds)
        }
        timer.advance(30.seconds)
        assertTrue(peers.agree(), "${peers.views()}")
    }

    @Test
    fun `an answer from a new process at an address removes the previous process`() {
        startSettled(4)
        val before = peers.running.getValue(address(2)).self
        peers.kill(address(2))
        peers.start(address(2))
        timer.advance(3_500.milliseconds)
        assertTrue(peers.running.values.none { member -> member.members().any { it.identifier == before } })
    }

    @Test
    fun `a member that leaves is removed without being suspected`() {
        startSettled(6)
        timer.advance(500.milliseconds)
        peers.running.getValue(address(3)).leave()
        timer.advance(10.milliseconds)
        peers.kill(address(3))
        timer.advance(3.seconds)
        assertTrue(peers.agree(), "${peers.views()}")
    }

    @Test
    fun `an urgent value reaches all members without waiting for a period`() {
        startSettled(8)
        val start = timer.now()
        peers.running.getValue(address(5)).publish(GossipValue.LeavingVm("http://10.1.0.1"))
        while (!allReceived() && timer.now() - start < 5.seconds) timer.advance(10.milliseconds)
        assertTrue(timer.now() - start < 900.milliseconds, "took ${timer.now() - start}")
    }

    /** Fills messages with competing entries: a member has just joined, and demand values are queued. */
    @Test
    fun `a quarantine reaches all members within a period, regardless of other queued entries`() {
        startSettled(4)
        peers.start(address(9))
        for (member in peers.running.values) {
            repeat(40) { member.publish(GossipValue.Demand(it, persistentMapOf(ModelName("m") to ModelDemand(1.0)))) }
        }
        timer.advance(1_500.milliseconds)
        val start = timer.now()
        peers.running.getValue(address(2)).publish(quarantine(1, quarantined = true))
        val missing = { peers.running.filterValues { it.values(GossipValue.Quarantine::class).isEmpty() }.keys }
        while (missing().isNotEmpty() && timer.now() - start < 20.seconds) timer.advance(10.milliseconds)
        assertTrue(timer.now() - start < 1.seconds, "took ${timer.now() - start}")
    }

    @Test
    fun `messages stay within the size limit and every value is distributed`() {
        startSettled(5)
        for (member in peers.running.values) {
            repeat(30) { member.publish(quarantine(it)) }
        }
        timer.advance(5.minutes)
        assertTrue(peers.largestMessageLength <= 900, "${peers.largestMessageLength}")
        for (member in peers.running.values) {
            assertEquals(150, member.values(GossipValue.Quarantine::class).size)
        }
    }

    @Test
    fun `a member that joins late receives by synchronisation values that are no longer sent as updates`() {
        startSettled(4)
        for (member in peers.running.values) {
            repeat(10) { member.publish(quarantine(it)) }
        }
        timer.advance(2.minutes)
        val late = peers.start(address(9))
        timer.advance(30.seconds)
        assertEquals(40, late.values(GossipValue.Quarantine::class).size)
    }

    @Test
    fun `a member that joins late receives protective values before other values`() {
        startSettled(4)
        for (member in peers.running.values) {
            repeat(60) { member.publish(GossipValue.Demand(it, persistentMapOf(ModelName("m") to ModelDemand(1.0)))) }
        }
        val publisher = peers.running.values.last()
        publisher.publish(quarantine(1))
        timer.advance(2.minutes)
        val late = peers.start(address(9))
        timer.advance(3.seconds)
        assertEquals(1, late.values(GossipValue.Quarantine::class).size)
    }

    @Test
    fun `a value that does not fit in a message is refused`() {
        val member = peers.start(InMemoryPeers.FIRST)
        val inFlight = (1..100).associate { UpstreamName("upstream-with-a-long-name-$it") to it }
        val result = member.publish(GossipValue.RecentSends(persistentMapOf<UpstreamName, Int>().putAll(inFlight)))
        assertIs<PublishResult.TooLarge>(result)
    }

    @Test
    fun `a value's age counts from its publication`() {
        startSettled(3)
        val publishedAt = timer.now()
        peers.running.getValue(address(0)).publish(GossipValue.NodeStatus(ready = true))
        timer.advance(30.seconds)
        for (member in peers.running.values) {
            val heard = member.values(GossipValue.NodeStatus::class).single()
            assertTrue(heard.publishedAt - publishedAt < 50.milliseconds, "${heard.publishedAt - publishedAt}")
        }
    }

    @Test
    fun `the highest configuration version is reported with the address that has it`() {
        val heard = mutableListOf<String>()
        val first = peers.start(InMemoryPeers.FIRST)
        first.subscribe(
            object : MembershipListener {
                override fun onConfigurationVersion(
                    version: ConfigurationVersion,
                    address: String,
                ) {
                    heard += "$version $address"
                }
            },
        )
        val message =
            GossipMessage(
                GossipEntry.Membership(
                    MemberIdentifier("other/1"),
                    1,
                    MemberState.ALIVE,
                    address(9),
                    FailureDomain("como"),
                ),
                configurationVersion =
                    ConfigurationVersion(7),
            )
        repeat(2) { first.receive(message) {} }
        assertEquals(listOf("7 ${address(9)}"), heard)
        assertContains(first.members().map { it.address }, address(9))
    }

    private fun startAll(count: Int) = repeat(count) { peers.start(address(it)) }

    private fun startSettled(count: Int) {
        startAll(count)
        timer.advance(20.seconds)
        assertTrue(peers.agree(), "${peers.views()}")
    }

    /** Returns a function that returns whether any member has removed the one at [address]. */
    private fun watchRemovals(address: String): () -> Boolean {
        var removed = false
        for ((own, member) in peers.running) {
            if (own == address) continue
            member.subscribe(
                object : MembershipListener {
                    override fun onMembersChanged() {
                        if (member.members().none { it.address == address }) removed = true
                    }
                },
            )
        }
        return { removed }
    }

    private fun allReceived() = peers.running.values.all { it.values(GossipValue.LeavingVm::class).isNotEmpty() }

    private fun sends(upstream: String) = GossipValue.RecentSends(persistentMapOf(UpstreamName(upstream) to 1))

    private fun quarantine(
        number: Int,
        quarantined: Boolean = false,
    ): GossipValue {
        val fingerprint =
            RequestFingerprint(number.toLong())
        val entry =
            QuarantineEntry(
                fingerprint,
                persistentListOf(),
                quarantined,
                3_600_000,
            )
        return GossipValue.Quarantine(entry)
    }
}
