package plantainturn.version.configuration

/** Gives the configuration in force at this node. */
public interface ConfigurationSource {
    /**
     * The configuration in force, or null until the node has read one.
     *
     * Its version never goes back. [NumberedConfiguration.NONE] means that the stream was read and holds no accepted
     * patch.
     */
    public val current: NumberedConfiguration?

    /** Calls [listener] after each change of [current], on the thread that made it, with the new value. */
    public fun subscribe(listener: (NumberedConfiguration) -> Unit)
}
