package plantainturn.version.configuration

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/** JSON merge patches, as RFC 7396 defines them. */
public object MergePatch {
    /** Returns [target] changed by [patch]. */
    public fun apply(
        target: JsonElement,
        patch: JsonElement,
    ): JsonElement {
        if (patch !is JsonObject) return patch
        val result = LinkedHashMap((target as? JsonObject).orEmpty())
        for ((name, value) in patch) {
            if (value is JsonNull) {
                result.remove(name)
            } else {
                result[name] = apply(result[name] ?: JsonNull, value)
            }
        }
        return JsonObject(result)
    }
}
