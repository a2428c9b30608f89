package org.baobabcart.router.traffic;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.baobabcart.model.sheet.Cascade;
import org.baobabcart.model.sheet.Model;
import org.baobabcart.model.sheet.Version;
import org.baobabcart.model.sheet.Workspace;
import org.baobabcart.policy.version.VersionPolicy;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.view.TrafficView;

/** Sends the model list in the format of the OpenAI API. */
final class ModelList {
    private static final int STATUS_OK = 200;

    private ModelList() {}

    /** Lists the models, versions and cascades that the workspace may use. */
    static void send(CallerExchange exchange, CallerContext context, TrafficView view) {
        VersionPolicy policy = VersionPolicy.of(context.sheet(), view.rollOuts());
        ArrayNode data = JsonNodeFactory.instance.arrayNode();
        for (Model model : context.sheet().models()) {
            addModel(data, policy, context.workspace(), model);
        }
        for (Cascade cascade : context.sheet().cascades()) {
            if (context.workspace().models().contains(cascade.name())) {
                data.add(entry(cascade.name()));
            }
        }
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("object", "list");
        body.set("data", data);
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("Content-Type", "application/json");
        exchange.respond(STATUS_OK, headers, Buffer.buffer(body.toString()));
    }

    private static void addModel(ArrayNode data, VersionPolicy policy, Workspace workspace, Model model) {
        boolean first = true;
        for (Version version : model.versions()) {
            if (!policy.isUsable(model, workspace, version.name())) {
                continue;
            }
            if (first) {
                data.add(entry(model.name()));
                first = false;
            }
            data.add(entry(model.name() + "@" + version.name()));
        }
    }

    private static ObjectNode entry(String id) {
        ObjectNode entry = JsonNodeFactory.instance.objectNode();
        entry.put("id", id);
        entry.put("object", "model");
        entry.put("created", 0);
        entry.put("owned_by", "baobabcart");
        return entry;
    }
}
