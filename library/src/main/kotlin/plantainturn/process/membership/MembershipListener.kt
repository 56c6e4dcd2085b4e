package plantainturn.process.membership

import plantainturn.version.configuration.ConfigurationVersion

/** Is told what gossip brings. Calls come on the thread that brought the news, hold no lock and must be short. */
public interface MembershipListener {
    /** A member published [heard], or this node heard of it for the first time. */
    public fun onValueReceived(received: ReceivedValue<GossipValue>) {}

    /** The member at [address] has [version] of the configuration, which is higher than any heard before. */
    public fun onConfigurationVersion(
        version: ConfigurationVersion,
        address: String,
    ) {}

    /** A member came, went, or came under or out of suspicion. */
    public fun onMembersChanged() {}
}
