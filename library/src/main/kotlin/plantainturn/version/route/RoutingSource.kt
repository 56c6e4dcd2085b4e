package plantainturn.version.route

/** Gives the routing configuration in force at this node. */
public interface RoutingSource {
    /** The newest configuration that this process has seen, null before the first. Its version never goes back. */
    public val current: RoutingConfiguration?
}
