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

/** Reads the system's objects from the platform for commands, which wait for the answer. */
public final class PlatformObjects {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private PlatformObjects() {}

    /** Access to the platform that the arguments name. */
    public static ObjectStore store(Arguments arguments, CommandContext context) {
        return context.stores().apply(arguments.address(CommonFlags.PLATFORM));
    }

    /** A finder of the routers that the arguments lead to. */
    public static FleetFinder finder(Arguments arguments, CommandContext context) {
        return FleetFinder.create(context.admin(), store(arguments, context), arguments);
    }

    /** The sheet in the platform, if one has been published. */
    public static Optional<PublishedSheet> currentSheet(ObjectStore store) {
        return read(store, ObjectKinds.SHEETS, ObjectKinds.CURRENT)
                .map(object -> convert(object.spec(), PublishedSheet.class));
    }

    /** The state of roll-outs in the platform. */
    public static RollOutState rollOuts(ObjectStore store) {
        return read(store, ObjectKinds.ROLL_OUTS, ObjectKinds.CURRENT)
                .map(object -> convert(object.spec(), RollOutState.class))
                .orElse(RollOutState.empty());
    }

    /** An object, if it exists. */
    public static Optional<StoredObject> read(ObjectStore store, String kind, String name) {
        return await(store.read(kind, name)
                .map(Optional::of)
                .onFailure(PlatformObjects::isMissing)
                .recoverWithItem(Optional.empty()));
    }

    /** Waits for the end of an operation; its failure is thrown. */
    public static <T> T await(Uni<T> operation) {
        return operation.await().indefinitely();
    }

    /** A value from its JSON. */
    public static <T> T convert(JsonNode json, Class<T> type) {
        try {
            return MAPPER.treeToValue(json, type);
        } catch (JsonProcessingException exception) {
            throw BaobabcartException.of(
                            ResultCode.INTERNAL, "the platform holds a " + type.getSimpleName() + " of another shape")
                    .withCause(exception);
        }
    }

    /** A value as JSON. */
    public static JsonNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }

    /** Whether a failure says that the object does not exist. */
    public static boolean isMissing(Throwable failure) {
        return failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND;
    }
}
