package plantainturn.version.route

/** The name of a client account, as the operator's configuration states it. Upstreams see it; it is no secret. */
@JvmInline
public value class ClientAccountName(
    public val value: String,
) : Comparable<ClientAccountName> {
    override fun compareTo(other: ClientAccountName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
