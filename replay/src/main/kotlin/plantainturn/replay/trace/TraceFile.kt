package plantainturn.replay.trace

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** A trace that was read, or the faults that stood in the way. */
internal sealed interface TraceReadResult {
    /** All lines are records, in the order of their arrival. */
    data class Trace(
        val records: PersistentList<TraceRecord>,
    ) : TraceReadResult

    /** Some lines are no records, or the file can't be read. */
    data class Faulty(
        val faults: PersistentList<String>,
    ) : TraceReadResult
}

/** Reads and writes traces as JSON lines; `docs/TRACES.md` describes the format. */
internal object TraceFile {
    private val json = Json { encodeDefaults = false }

    /** Reads [path]. Empty lines are skipped, and records are sorted by arrival. */
    fun read(path: Path): TraceReadResult =
        try {
            parse(Files.readAllLines(path))
        } catch (failure: IOException) {
            TraceReadResult.Faulty(listOf("$path: ${failure.message}").toPersistentList())
        }

    /** Reads the records of [lines]. */
    fun parse(lines: List<String>): TraceReadResult {
        val faults = mutableListOf<String>()
        val records = mutableListOf<TraceRecord>()
        lines.forEachIndexed { index, line ->
            if (line.isNotBlank()) {
                try {
                    records += json.decodeFromString(TraceRecord.serializer(), line)
                } catch (failure: SerializationException) {
                    faults += "line ${index + 1}: ${failure.message?.lineSequence()?.first()}"
                }
            }
        }
        if (faults.isNotEmpty()) return TraceReadResult.Faulty(faults.toPersistentList())
        return TraceReadResult.Trace(records.sortedBy { it.atMilliseconds }.toPersistentList())
    }

    /** Writes one record as a line. */
    fun format(record: TraceRecord): String = json.encodeToString(TraceRecord.serializer(), record)
}
