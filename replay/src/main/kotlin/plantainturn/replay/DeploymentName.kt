package plantainturn.replay

/**
 * A deployment that can be replayed.
 *
 * @property argument how it is written on the command line
 */
public enum class DeploymentName(
    public val argument: String,
) {
    /** The keg deposit desk: 3 failure domains, 6 assistant servers, 20 models, 40 adapters. */
    HAMASAKI("hamasaki"),

    /** The cuckoo clocks: 3 failure domains, 13 assistant servers, 40 models, 100 adapters. */
    VALTELLINA("valtellina"),

    /** The size to design for: 7 failure domains, 600 servers, 340 models. */
    TARGET("target"),
}
