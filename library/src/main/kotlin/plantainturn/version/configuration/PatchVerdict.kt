package plantainturn.version.configuration

/** What the stream's order made of the patch named [identifier]. */
public data class PatchVerdict(
    val identifier: PatchIdentifier,
    val fate: PatchFate,
)
