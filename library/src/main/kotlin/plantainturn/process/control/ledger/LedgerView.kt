package plantainturn.process.control.ledger

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import plantainturn.connection.engine.FenceNumber
import plantainturn.connection.engine.Resident
import plantainturn.version.configuration.SerializableList
import plantainturn.version.configuration.UpstreamName

/** The ledger of one upstream as shown by `dump`, with memory in megabytes. */
@Serializable
public data class LedgerView(
    val upstream: UpstreamName,
    val fence: FenceNumber,
    val incarnation: String?,
    val established: Boolean,
    val capacityMegabytes: Long,
    val residentMegabytes: Long,
    val reservedMegabytes: Long,
    val afterRestartMegabytes: Long,
    val freeMegabytes: Long,
    val residents: SerializableList<Resident>,
    val orders: SerializableList<OrderView>,
) {
    public companion object {
        /** Returns the view of [ledger]. */
        public fun of(
            upstream: UpstreamName,
            ledger: UpstreamLedger,
        ): LedgerView =
            LedgerView(
                upstream = upstream,
                fence = ledger.fence,
                incarnation = ledger.report?.incarnation,
                established = ledger.established,
                capacityMegabytes = ledger.capacityMegabytes,
                residentMegabytes = ledger.residentMegabytes,
                reservedMegabytes = ledger.reservedMegabytes,
                afterRestartMegabytes = ledger.afterRestartMegabytes,
                freeMegabytes = ledger.freeMegabytes,
                residents = ledger.residents.values.toPersistentList(),
                orders =
                    ledger.orders.values
                        .sortedBy { it.order.identifier }
                        .map { OrderView(it.order, it.phase, it.sends) }
                        .toPersistentList(),
            )
    }
}
