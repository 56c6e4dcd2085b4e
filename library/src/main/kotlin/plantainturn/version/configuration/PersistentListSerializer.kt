package plantainturn.version.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Serializes a [PersistentList] as an array. */
public class PersistentListSerializer<T>(
    element: KSerializer<T>,
) : KSerializer<PersistentList<T>> {
    private val delegate = ListSerializer(element)

    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(
        encoder: Encoder,
        value: PersistentList<T>,
    ): Unit = delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): PersistentList<T> = delegate.deserialize(decoder).toPersistentList()
}
