package plantainturn.version.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What runs on an upstream. */
@Serializable
public enum class UpstreamKind {
    /** A model engine, which loads and unloads models and adapters. */
    @SerialName("engine")
    ENGINE,

    /** A plain service. */
    @SerialName("service")
    SERVICE,
}
