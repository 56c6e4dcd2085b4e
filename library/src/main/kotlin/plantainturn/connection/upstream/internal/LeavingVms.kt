package plantainturn.connection.upstream.internal

import plantainturn.connection.upstream.UpstreamExchange
import plantainturn.connection.vm.VmList
import plantainturn.connection.vm.VmListResult
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

/** Follows the platform's word on which VMs are leaving, as this node reads it and as the others tell it. */
internal class LeavingVms(
    private val vmList: VmList,
    private val exchange: UpstreamExchange,
) {
    private val listed = AtomicReference<Set<String>>(emptySet())
    private val told = AtomicReference<Set<String>>(emptySet())
    private val reading = AtomicBoolean()

    /** Returns whether a read may begin, which it may not while one is in flight. */
    fun beginRead(): Boolean = reading.compareAndSet(false, true)

    fun abandonRead() {
        reading.set(false)
    }

    /** Reads the list and tells the others what is new in it. */
    fun read() {
        try {
            val result = vmList.read() as? VmListResult.Listed ?: return
            val leaving =
                result.vms
                    .filter { it.leaving }
                    .map { normal(it.address) }
                    .toSet()
            listed.set(leaving)
            tell(leaving)
        } finally {
            reading.set(false)
        }
    }

    /** Returns the addresses of the leaving VMs. */
    fun addresses(): Set<String> = listed.get() + exchange.leavingAddresses()

    private fun tell(leaving: Set<String>) {
        val known = exchange.leavingAddresses()
        val before = told.get()
        val news = leaving - known
        val over = before - leaving
        news.forEach { exchange.publishLeaving(it, leaving = true) }
        over.forEach { exchange.publishLeaving(it, leaving = false) }
        told.set(before - over + news)
    }

    companion object {
        /** Returns [address] in the form in which addresses are compared. */
        fun normal(address: String): String = address.trimEnd('/')
    }
}
