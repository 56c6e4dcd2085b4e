package plantainturn.version.document

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/**
 * Checks the fields of one JSON object and notes every fault with its path.
 *
 * A check returns the field's value, or null if it is absent or faulty. Fields that no check asked for are unknown.
 *
 * @property path the JSON path of the object
 */
public class ObjectChecker(
    public val path: String,
    private val fields: JsonObject,
    private val faults: FaultCollector,
) {
    private val asked = mutableSetOf<String>()

    /** Returns the path of the field [name]. */
    public fun pathOf(name: String): String = "$path.$name"

    /** Notes a problem of the field [name]. */
    public fun fault(
        name: String,
        problem: String,
    ): Unit = faults.add(pathOf(name), problem)

    /** Checks a whole number in [range], counted in [unit]. */
    public fun integer(
        name: String,
        range: LongRange,
        unit: String,
        required: Boolean = false,
    ): Long? {
        val element = field(name, required) ?: return null
        val value = numberText(element)?.longOrNull
        if (value == null || value !in range) {
            fault(name, "must be a whole number of $unit from ${range.first} to ${range.last}, is $element")
            return null
        }
        return value
    }

    /** Checks a number in [range], counted in [unit]. */
    public fun decimal(
        name: String,
        range: ClosedFloatingPointRange<Double>,
        unit: String,
    ): Double? {
        val element = field(name, false) ?: return null
        val value = numberText(element)?.doubleOrNull
        if (value == null || value !in range) {
            fault(name, "must be a number of $unit from ${range.start} to ${range.endInclusive}, is $element")
            return null
        }
        return value
    }

    /** Checks a text that matches [pattern], which [form] puts into words. */
    public fun text(
        name: String,
        pattern: Regex,
        form: String,
        required: Boolean = false,
    ): String? {
        val element = field(name, required) ?: return null
        val value = stringOf(element)
        if (value == null || !pattern.matches(value)) {
            fault(name, "must be $form, is $element")
            return null
        }
        return value
    }

    /** Checks true or false. */
    public fun boolean(name: String): Boolean? {
        val element = field(name, false) ?: return null
        val value = numberText(element)?.booleanOrNull
        if (value == null) fault(name, "must be true or false, is $element")
        return value
    }

    /** Checks a list of texts, each given to [check] with its path. */
    public fun texts(
        name: String,
        required: Boolean,
        check: (String, String) -> Unit,
    ): List<String>? {
        val element = field(name, required) ?: return null
        if (element !is JsonArray) {
            fault(name, "must be a list of texts, is $element")
            return null
        }
        return element.mapIndexedNotNull { index, item -> listItem("${pathOf(name)}[$index]", item, check) }
    }

    /** Checks an object field by [check]. */
    public fun nested(
        name: String,
        required: Boolean = false,
        check: (ObjectChecker) -> Unit,
    ) {
        val element = field(name, required) ?: return
        checkObject(pathOf(name), element, check)
    }

    /** Checks each named object of the object field [name] by [check]. */
    public fun eachNamed(
        name: String,
        check: (String, ObjectChecker) -> Unit,
    ) {
        nested(name) { entries ->
            for ((key, value) in entries.fields) {
                entries.asked += key
                checkObject(entries.pathOf(key), value) { check(key, it) }
            }
        }
    }

    private fun checkObject(
        at: String,
        element: JsonElement,
        check: (ObjectChecker) -> Unit,
    ) {
        if (element !is JsonObject) {
            faults.add(at, "must be an object, is $element")
            return
        }
        val checker = ObjectChecker(at, element, faults)
        check(checker)
        checker.reportUnknownFields()
    }

    /** Notes each field that no check asked for. */
    public fun reportUnknownFields() {
        for (name in fields.keys - asked) {
            fault(name, "is not a known field; known are ${asked.sorted().joinToString()}")
        }
    }

    private fun field(
        name: String,
        required: Boolean,
    ): JsonElement? {
        asked += name
        val element = fields[name]
        if (element == null && required) fault(name, "is missing")
        return element
    }

    private fun listItem(
        at: String,
        item: JsonElement,
        check: (String, String) -> Unit,
    ): String? {
        val value = stringOf(item)
        if (value == null) faults.add(at, "must be a text, is $item") else check(at, value)
        return value
    }

    private fun stringOf(element: JsonElement): String? = (element as? JsonPrimitive)?.takeIf { it.isString }?.content

    private fun numberText(element: JsonElement): JsonPrimitive? = (element as? JsonPrimitive)?.takeIf { !it.isString }
}
