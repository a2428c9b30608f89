package org.baobabcart.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.fleet.FleetFinder;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.router.platform.ObjectStore;

/** Blocking access to the objects stored in the platform. */
public final class PlatformObjects {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private PlatformObjects() {}

    /** Returns a client of the platform specified by the arguments. */
    public static ObjectStore store(Arguments arguments, CommandContext context) {
        return context.stores().apply(arguments.address(CommonFlags.PLATFORM));
    }

    /** Returns a finder for the fleet specified by the arguments. */
    public static FleetFinder finder(Arguments arguments, CommandContext context) {
        return FleetFinder.create(context.admin(), store(arguments, context), arguments);
    }

    /** Returns the current sheet, if one has been published. */
    public static Optional<PublishedSheet> currentSheet(ObjectStore store) {
        return read(store, ObjectKinds.SHEETS, ObjectKinds.CURRENT)
                .map(object -> convert(object.spec(), PublishedSheet.class));
    }

    /** Returns the current roll-out state. */
    public static RollOutState rollOuts(ObjectStore store) {
        return read(store, ObjectKinds.ROLL_OUTS, ObjectKinds.CURRENT)
                .map(object -> convert(object.spec(), RollOutState.class))
                .orElse(RollOutState.empty());
    }

    /** Returns an object, if it exists. */
    public static Optional<StoredObject> read(ObjectStore store, String kind, String name) {
        return await(store.read(kind, name)
                .map(Optional::of)
                .onFailure(PlatformObjects::isMissing)
                .recoverWithItem(Optional.empty()));
    }

    /** Waits for an operation to complete and returns its result or throws its failure. */
    public static <T> T await(Uni<T> operation) {
        return operation.await().indefinitely();
    }

    /** Converts JSON to a value. */
    public static <T> T convert(JsonNode json, Class<T> type) {
        try {
            return MAPPER.treeToValue(json, type);
        } catch (JsonProcessingException exception) {
            throw BaobabcartException.of(
                            ResultCode.INTERNAL, "the JSON of " + type.getSimpleName() + " has an unexpected structure")
                    .withCause(exception);
        }
    }

    /** Converts a value to JSON. */
    public static JsonNode toJson(Object value) {
        return MAPPER.valueToTree(value);
    }

    /** Returns whether a failure means that the object does not exist. */
    public static boolean isMissing(Throwable failure) {
        return failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND;
    }
}
