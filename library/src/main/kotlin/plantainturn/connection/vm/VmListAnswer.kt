package plantainturn.connection.vm

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import plantainturn.version.configuration.SerializableList

/** The body of the platform's answer to a read of the VM list. */
@Serializable
public data class VmListAnswer(
    val vms: SerializableList<VmEntry> = persistentListOf(),
)
