package plantainturn.process.membership

import plantainturn.version.configuration.ConfigurationVersion

/** Receives membership changes. Called without locks on the thread that applied the change; must return quickly. */
public interface MembershipListener {
    /** Called when a value of a member, this one included, is new to this node. */
    public fun onValueReceived(received: ReceivedValue<GossipValue>) {}

    /** Called when the member at [address] has a configuration [version] higher than any seen before. */
    public fun onConfigurationVersion(
        version: ConfigurationVersion,
        address: String,
    ) {}

    /** Called when a member joins or is gone, or a suspicion begins or ends. */
    public fun onMembersChanged() {}
}
