package plantainturn.daemon.settings.internal

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import plantainturn.daemon.settings.SettingsFault

/** Checks the fields of one JSON object and collects every fault. Fields that were not asked for are faults too. */
internal class ObjectChecker private constructor(
    private val value: JsonObject,
    private val path: String,
    private val faults: MutableList<SettingsFault>,
) {
    private val known = mutableSetOf<String>()

    fun text(
        name: String,
        form: Regex,
        expected: String,
    ) {
        val element = field(name, required = true) ?: return
        checkText(element, pathOf(name), form, expected)
    }

    fun texts(
        name: String,
        form: Regex,
        expected: String,
    ) {
        val element = field(name, required = false) ?: return
        if (element !is JsonArray) {
            add(pathOf(name), "must be an array")
            return
        }
        element.forEachIndexed { index, entry -> checkText(entry, "${pathOf(name)}[$index]", form, expected) }
    }

    fun integer(
        name: String,
        range: LongRange,
        unit: String,
        required: Boolean = false,
    ) {
        val element = field(name, required) ?: return
        val number = (element as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull
        if (number == null || number !in range) {
            add(pathOf(name), "must be a whole number from ${range.first} to ${range.last} ($unit)")
        }
    }

    fun child(
        name: String,
        required: Boolean = false,
        check: (ObjectChecker) -> Unit,
    ) {
        val element = field(name, required) ?: return
        if (element !is JsonObject) {
            add(pathOf(name), "must be an object")
            return
        }
        val checker = ObjectChecker(element, pathOf(name), faults)
        check(checker)
        checker.addUnknownFields()
    }

    fun finish(): List<SettingsFault> {
        addUnknownFields()
        return faults.toList()
    }

    private fun checkText(
        element: JsonElement,
        elementPath: String,
        form: Regex,
        expected: String,
    ) {
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text == null || !form.matches(text)) add(elementPath, "must be $expected")
    }

    private fun field(
        name: String,
        required: Boolean,
    ): JsonElement? {
        known += name
        val element = value[name]
        if (element == null && required) add(pathOf(name), "is missing")
        return element
    }

    private fun addUnknownFields() {
        for (name in value.keys - known) add(pathOf(name), "is not a setting")
    }

    private fun pathOf(name: String) = "$path.$name"

    private fun add(
        faultPath: String,
        problem: String,
    ) {
        faults += SettingsFault(faultPath, problem)
    }

    companion object {
        fun ofRoot(value: JsonObject): ObjectChecker = ObjectChecker(value, "$", mutableListOf())
    }
}
