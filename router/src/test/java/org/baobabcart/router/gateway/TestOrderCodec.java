package org.baobabcart.router.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.Optional;
import org.baobabcart.model.gateway.Evacuation;
import org.baobabcart.model.gateway.MoveProgress;
import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Test codec for orders in an in-memory store, with one order of one service to another version. Stateless. */
class TestOrderCodec implements GatewayObjectCodec {
    static final String KIND = "orders";
    static final String EVACUATION_KIND = "evacuated";
    static final String SERVICE = "service";
    static final String TARGET = "v2";

    /** Creates an order without a status, with a default creation mark. */
    static StoredObject object(Duration length) {
        return object("first", length);
    }

    /** Creates an order without a status. */
    static StoredObject object(String created, Duration length) {
        return StoredObject.create(
                KIND,
                SERVICE,
                JsonNodeFactory.instance.objectNode().put("created", created).put("millis", length.toMillis()));
    }

    @Override
    public String configurationKind() {
        return "tables";
    }

    @Override
    public String upstreamKind() {
        return "upstreams";
    }

    @Override
    public String orderKind() {
        return KIND;
    }

    @Override
    public String evacuationKind() {
        return EVACUATION_KIND;
    }

    @Override
    public Evacuation evacuation(StoredObject object) {
        if (!object.spec().isObject()) {
            throw BaobabcartException.of(ResultCode.BAD_REQUEST, "an object is expected");
        }
        return new Evacuation(object.name(), object.resourceVersion(), object.created());
    }

    @Override
    public Optional<RouteTable> routeTable(StoredObject object) {
        return Optional.empty();
    }

    @Override
    public Optional<VirtualMachine> upstream(StoredObject object) {
        return Optional.empty();
    }

    @Override
    public VersionOrder order(StoredObject object) {
        JsonNode spec = object.spec();
        JsonNode status = object.status();
        boolean isCurrent = status.path("created").equals(spec.path("created"));
        return new VersionOrder(
                SERVICE,
                TARGET,
                Duration.ofMillis(spec.path("millis").asLong()),
                isCurrent ? VersionOrder.State.valueOf(status.path("state").asText()) : VersionOrder.State.ORDERED,
                isCurrent ? progress(status) : MoveProgress.none(),
                object.resourceVersion(),
                spec.path("created").asText());
    }

    @Override
    public JsonNode status(VersionOrder order) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("created", order.created())
                .put("state", order.state().name())
                .put("stage", order.progress().stage().text())
                .put("share", order.progress().share())
                .put("from", order.progress().effectiveFrom())
                .put("written", order.progress().writtenAt())
                .put("reviewer", order.progress().reviewer());
    }

    private static MoveProgress progress(JsonNode status) {
        return new MoveProgress(
                MoveStage.of(status.path("stage").asText()).orElseThrow(),
                status.path("share").asDouble(),
                status.path("from").asDouble(),
                status.path("written").asDouble(),
                status.path("reviewer").asText());
    }
}
