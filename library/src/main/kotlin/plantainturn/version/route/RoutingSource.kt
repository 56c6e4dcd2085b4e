package plantainturn.version.route

/** Provides the routing configuration in force at this node. */
public interface RoutingSource {
    /** The newest configuration that this process has read, or null before the first. Its version never decreases. */
    public val current: RoutingConfiguration?
}
