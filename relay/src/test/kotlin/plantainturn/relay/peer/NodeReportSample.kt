package plantainturn.relay.peer

import plantainturn.connection.store.StorePosition

/** The report of a node without callers. */
internal val SAMPLE_REPORT =
    NodeReport(
        node = "a",
        sequence = 0,
        repetitionShare = 0.0,
        work = emptyMap(),
        suspects = emptyMap(),
        pressure = emptyMap(),
        adapterUse = emptyList(),
        known = IssuerKnowledge.NONE,
        departingRuns = emptyMap(),
        departures = emptyList(),
        limits = emptyList(),
        prompts = emptyList(),
        streams = emptyList(),
        configurationVersion = 1,
        configuration = null,
        ends = TopicEnds(StorePosition.FIRST, StorePosition.FIRST, StorePosition.FIRST),
    )
