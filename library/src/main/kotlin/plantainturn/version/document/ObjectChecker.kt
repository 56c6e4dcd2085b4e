package plantainturn.version.document

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/**
 * Validates the fields of one JSON object and records every fault with its path.
 *
 * A check returns the field's value, or null if the field is absent or invalid. Fields that no check has read are
 * unknown; [reportUnknownFields] records them as faults.
 *
 * @property path the JSON path of the object
 */
public class ObjectChecker(
    public val path: String,
    private val fields: JsonObject,
    private val faults: FaultCollector,
) {
    private val knownFields = mutableSetOf<String>()

    /** Returns the path of the field [name]. */
    public fun pathOf(name: String): String = "$path.$name"

    /** Records a fault of the field [name]. */
    public fun fault(
        name: String,
        problem: String,
    ): Unit = faults.add(pathOf(name), problem)

    /** Checks that the field [name] is an integer in [range]. Faults name the [unit]. */
    public fun integer(
        name: String,
        range: LongRange,
        unit: String,
        required: Boolean = false,
    ): Long? {
        val element = field(name, required) ?: return null
        val value = unquotedOrNull(element)?.longOrNull
        if (value == null || value !in range) {
            fault(name, "must be a whole number of $unit from ${range.first} to ${range.last}, is $element")
            return null
        }
        return value
    }

    /** Checks that the field [name] is a number in [range]. Faults name the [unit]. */
    public fun decimal(
        name: String,
        range: ClosedFloatingPointRange<Double>,
        unit: String,
    ): Double? {
        val element = field(name, false) ?: return null
        val value = unquotedOrNull(element)?.doubleOrNull
        if (value == null || value !in range) {
            fault(name, "must be a number of $unit from ${range.start} to ${range.endInclusive}, is $element")
            return null
        }
        return value
    }

    /** Checks that the field [name] is a string that matches [pattern]. Faults describe the pattern by [form]. */
    public fun text(
        name: String,
        pattern: Regex,
        form: String,
        required: Boolean = false,
    ): String? {
        val element = field(name, required) ?: return null
        val value = stringOrNull(element)
        if (value == null || !pattern.matches(value)) {
            fault(name, "must be $form, is $element")
            return null
        }
        return value
    }

    /** Checks that the field [name] is a boolean. */
    public fun boolean(name: String): Boolean? {
        val element = field(name, false) ?: return null
        val value = unquotedOrNull(element)?.booleanOrNull
        if (value == null) fault(name, "must be true or false, is $element")
        return value
    }

    /** Checks that the field [name] is a list of strings, and calls [check] with the path and value of each. */
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

    /** Checks that the field [name] is an object, and validates its fields by [check]. */
    public fun nested(
        name: String,
        required: Boolean = false,
        check: (ObjectChecker) -> Unit,
    ) {
        val element = field(name, required) ?: return
        checkObject(pathOf(name), element, check)
    }

    /** Checks that each entry of the object [name] is an object, and calls [check] with its key and its checker. */
    public fun eachNamed(
        name: String,
        check: (String, ObjectChecker) -> Unit,
    ) {
        nested(name) { entries ->
            for ((key, value) in entries.fields) {
                entries.knownFields += key
                checkObject(entries.pathOf(key), value) { check(key, it) }
            }
        }
    }

    private fun checkObject(
        elementPath: String,
        element: JsonElement,
        check: (ObjectChecker) -> Unit,
    ) {
        if (element !is JsonObject) {
            faults.add(elementPath, "must be an object, is $element")
            return
        }
        val checker = ObjectChecker(elementPath, element, faults)
        check(checker)
        checker.reportUnknownFields()
    }

    /** Records a fault for each field that no check has read. */
    public fun reportUnknownFields() {
        for (name in fields.keys - knownFields) {
            fault(name, "is not a known field; known are ${knownFields.sorted().joinToString()}")
        }
    }

    private fun field(
        name: String,
        required: Boolean,
    ): JsonElement? {
        knownFields += name
        val element = fields[name]
        if (element == null && required) fault(name, "is missing")
        return element
    }

    private fun listItem(
        itemPath: String,
        item: JsonElement,
        check: (String, String) -> Unit,
    ): String? {
        val value = stringOrNull(item)
        if (value == null) faults.add(itemPath, "must be a text, is $item") else check(itemPath, value)
        return value
    }

    private fun stringOrNull(element: JsonElement): String? =
        (element as? JsonPrimitive)?.takeIf { it.isString }?.content

    private fun unquotedOrNull(element: JsonElement): JsonPrimitive? =
        (element as? JsonPrimitive)?.takeIf { !it.isString }
}
