package plantainturn.process.control.lease

import org.junit.jupiter.api.Test
import plantainturn.connection.store.FakeRecordStore
import plantainturn.process.time.Moment
import plantainturn.process.time.VirtualTimerService
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreLeaseTest {
    private val timer = VirtualTimerService(Moment.ORIGIN + 1_000.seconds)
    private val store = FakeRecordStore(timer)
    private var wallClockOffset = 0L

    @Test
    fun `only one of several nodes that start together gets the lease`() {
        val nodes = nodes(3)

        run(nodes, 2_000)

        assertEquals(1, nodes.count { it.lease.permitsOrders() })
    }

    @Test
    fun `a holder that cannot reach the store stops before another one starts`() {
        val nodes = nodes(2)
        run(nodes, 1_000)
        val first = nodes.single { it.lease.permitsOrders() }
        first.reaches = false

        run(nodes, 6_000) { assertTrue(nodes.count { it.lease.permitsOrders() } <= 1) }

        assertFalse(first.lease.permitsOrders())
        assertTrue(nodes.single { it !== first }.lease.permitsOrders())
    }

    @Test
    fun `a renewal whose answer was lost does not lose the lease`() {
        val nodes = nodes(1)
        run(nodes, 1_000)
        store.fates += FakeRecordStore.Fate.ANSWER_LOST

        run(nodes, 1_500)

        assertTrue(nodes.single().lease.permitsOrders())
    }

    @Test
    fun `a released lease is taken over after the pause between holders`() {
        val nodes = nodes(2)
        run(nodes, 1_000)
        val first = nodes.single { it.lease.permitsOrders() }
        first.lease.release()
        first.contends = false
        val released = timer.now()

        run(nodes, 5_000) {
            if (nodes.any { it.lease.permitsOrders() }) assertTrue(timer.now() >= released + settings.handOverPause)
        }

        assertTrue(nodes.single { it !== first }.lease.permitsOrders())
    }

    @Test
    fun `a holder that was suspended issues no orders until a renewal is confirmed`() {
        val nodes = nodes(1)
        run(nodes, 1_000)
        val lease = nodes.single().lease
        wallClockOffset += 6_000

        assertFalse(lease.permitsOrders())
        run(nodes, 300)

        assertTrue(lease.permitsOrders())
    }

    @Test
    fun `fences increase from holder to holder`() {
        val nodes = nodes(2)
        run(nodes, 1_000)
        val first = nodes.single { it.lease.permitsOrders() }
        val before = requireNotNull(first.lease.fence)
        first.reaches = false
        run(nodes, 8_000)
        val after = requireNotNull(nodes.single { it !== first }.lease.fence)

        assertTrue(after > before)
    }

    @Test
    fun `reading back an old renewal does not extend the holder's term`() {
        val nodes = nodes(2)
        run(nodes, 1_000)
        val holder = nodes.single { it.lease.permitsOrders() }
        holder.reaches = false
        holder.stepping = false
        store.fates += FakeRecordStore.Fate.ANSWER_LOST
        holder.reaches = true
        store.reaches = { true }
        timer.advance(600.milliseconds)
        holder.lease.step(mayContend = true)
        timer.advance(1_250.milliseconds)
        val validBefore = holder.lease.permitsOrders()
        holder.lease.step(mayContend = true)
        timer.advance(20.milliseconds)

        assertFalse(validBefore)
        assertFalse(holder.lease.permitsOrders(), "only a confirmed append extends the term")
    }

    @Test
    fun `where engines refuse old fences a holder continues while the store does not answer`() {
        val holder = Node(lease(0, settings.copy(outageTolerance = 5_000.milliseconds)))
        store.records.clear()
        run(listOf(holder), 1_000)
        holder.reaches = false
        run(listOf(holder), 4_000)

        assertTrue(holder.lease.permitsOrders())
        run(listOf(holder), 5_000)
        assertFalse(holder.lease.permitsOrders(), "the outage tolerance has passed")
    }

    @Test
    fun `a holder that continues without the store stops when it sees a successor`() {
        val holder = Node(lease(0, settings.copy(outageTolerance = 60_000.milliseconds)))
        val other = Node(lease(1))
        store.records.clear()
        run(listOf(holder), 1_000)
        holder.reaches = false
        run(listOf(holder, other), 4_000)
        assertTrue(other.lease.permitsOrders())
        holder.reaches = true

        run(listOf(holder, other), 1_000)

        assertFalse(holder.lease.permitsOrders())
    }

    @Test
    fun `a holder that is released during a store outage continues until the store answers`() {
        val nodes = List(2) { Node(lease(it, settings.copy(outageTolerance = 10_000.milliseconds))) }
        store.records.clear()
        run(nodes, 1_000)
        val holder = nodes.single { it.lease.permitsOrders() }
        nodes.forEach { it.reaches = false }
        run(nodes, 1_000)
        holder.lease.release()
        run(nodes, 3_000)
        assertTrue(holder.lease.permitsOrders(), "no other node could take over")
        nodes.forEach { it.reaches = true }

        run(nodes, 3_000) { assertTrue(nodes.count { it.lease.permitsOrders() } <= 1) }

        assertTrue(nodes.single { it !== holder }.lease.permitsOrders())
    }

    @Test
    fun `a node restarted at the address of the last holder does not wait for the term to end`() {
        store.records.clear()
        run(listOf(Node(lease(0))), 1_000)
        val again = Node(lease(0, holder = "node-0-again"))
        val other = Node(lease(1))

        run(listOf(again, other), 300)

        assertTrue(again.lease.permitsOrders())
        assertFalse(other.lease.permitsOrders())
    }

    @Test
    fun `the holder gets a higher fence after a restore that lost its record, also where all nodes start again`() {
        val nodes = nodes(3)
        run(nodes, 1_000)
        val before = requireNotNull(nodes.single { it.lease.permitsOrders() }.lease.fence)
        store.restore(0)
        run(nodes, 1_000)
        val after = requireNotNull(nodes.single { it.lease.permitsOrders() }.lease.fence)
        store.restore(1)
        val started = List(3) { Node(lease(it, holder = "again-$it")) }
        run(started, 10_000)
        val last = requireNotNull(started.single { it.lease.permitsOrders() }.lease.fence)

        assertTrue(after > before, "$before, $after")
        assertTrue(last > after, "$after, $last")
        assertFalse(started.any { it.lease.isFirstHolder })
    }

    @Test
    fun `a release in the copy does not shorten the wait of a contender`() {
        val nodes = nodes(2)
        run(nodes, 1_000)
        val first = nodes.single { it.lease.permitsOrders() }
        first.lease.release()
        first.contends = false
        run(nodes, 100)
        val copied = store.records.size
        run(nodes, 1_500)
        val second = nodes.single { it !== first }
        assertTrue(second.lease.permitsOrders())
        second.reaches = false
        val restarted = Node(lease(0, holder = "restarted"))

        store.restore(copied)

        run(listOf(second, restarted), 5_000) {
            assertTrue(listOf(second, restarted).count { it.lease.permitsOrders() } <= 1)
        }
        assertTrue(restarted.lease.permitsOrders())
    }

    @Test
    fun `a claim that the store appends in another era is not a grant`() {
        val nodes = nodes(2)
        run(nodes, 1_000)
        val holder = nodes.single { it.lease.permitsOrders() }
        val size = store.records.size
        store.restore(size)

        run(nodes, 5_000) { assertTrue(nodes.count { it.lease.permitsOrders() } <= 1) }

        assertTrue(holder.lease.permitsOrders())
        assertTrue(requireNotNull(holder.lease.fence).value >= 1L shl 32)
    }

    @Test
    fun `at most one node may issue orders, whatever faults the store and the links have`() {
        for (seed in 1..40) {
            val random = Random(seed)
            val nodes = nodes(4)
            run(nodes, 30_000) {
                injectFault(random, nodes)
                assertTrue(nodes.count { it.lease.permitsOrders() } <= 1, "seed $seed at ${timer.now()}")
            }
        }
    }

    private fun injectFault(
        random: Random,
        nodes: List<Node>,
    ) {
        val node = nodes.random(random)
        when (random.nextInt(60)) {
            0 -> node.reaches = !node.reaches
            1 -> store.fates += FakeRecordStore.Fate.entries.random(random)
            2 -> store.latency = random.nextInt(2, 700).milliseconds
            3 -> store.latency = 10.milliseconds
            4 -> node.stepping = !node.stepping
            5 -> nodes.forEach { it.reaches = true }
            6 -> if (random.nextInt(4) == 0) store.restore(random.nextInt(store.records.size + 1))
            else -> Unit
        }
    }

    private fun run(
        nodes: List<Node>,
        milliseconds: Int,
        check: () -> Unit = {},
    ) {
        repeat(milliseconds / STEP) {
            nodes.filter { it.stepping }.forEach {
                store.reaches = { it.reaches }
                it.lease.step(it.contends)
            }
            timer.advance(STEP.milliseconds)
            check()
        }
    }

    private fun nodes(count: Int): List<Node> {
        store.records.clear()
        store.fates.clear()
        store.latency = 10.milliseconds
        return List(count) { number -> Node(lease(number)) }
    }

    private fun lease(
        number: Int,
        settings: StoreLeaseSettings = Companion.settings,
        holder: String = "node-$number",
    ) = StoreLease(
        store,
        HolderIdentifier(holder),
        "127.0.0.1:$number",
        timer,
        { wallClockOffset + timer.now().nanoseconds / 1_000_000 },
        settings,
    )

    private class Node(
        val lease: StoreLease,
        var reaches: Boolean = true,
        var stepping: Boolean = true,
        var contends: Boolean = true,
    )

    private companion object {
        const val STEP = 50
        val settings = StoreLeaseSettings(handOverPause = 300.milliseconds)
    }
}
