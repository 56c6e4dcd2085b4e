package plantainturn.version.route

import kotlinx.collections.immutable.PersistentMap

/**
 * The client accounts of one version of the configuration and the access keys that they hold.
 *
 * @property byKey the account that holds each key
 * @property byName all accounts, those without a key too
 */
public class ClientAccounts(
    public val byKey: PersistentMap<AccessKeyDigest, ClientAccount>,
    public val byName: PersistentMap<ClientAccountName, ClientAccount>,
) {
    /** Returns the account that holds the key with this [digest], or null if none does. */
    public fun find(digest: AccessKeyDigest): ClientAccount? = byKey[digest]
}
