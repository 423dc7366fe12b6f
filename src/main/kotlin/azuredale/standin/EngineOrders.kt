package azuredale.standin

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/** State that orders set: models, adapters and role, with the highest fencing token seen. */
internal class EngineOrders(private val checksFencing: Boolean) {
    private var models = JsonArray()
    private var adapters = JsonArray()
    private var role = "serve"
    private var highestToken = 0L

    /** Applies [order], which states the wanted end state; false when its fencing token is old and checked. */
    fun apply(order: JsonObject): Boolean {
        val token = order.getLong("fencingToken", 0L)
        if (checksFencing && token < highestToken) return false
        highestToken = maxOf(highestToken, token)
        order.getJsonArray("models")?.let { models = it }
        order.getJsonArray("adapters")?.let { adapters = it }
        order.getString("role")?.let { role = it }
        return true
    }

    fun report(into: JsonObject): JsonObject = into
        .put("models", models)
        .put("adapters", adapters)
        .put("role", role)
        .put("fencingToken", highestToken)
}
