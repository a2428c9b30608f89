package org.baobabcart.router.machine;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.machine.MachineStatement;
import org.baobabcart.router.document.DocumentCodec;

/** Encodes and decodes statements about VMs exchanged between peers as compressed JSON. Thread-safe. */
final class MachineStatementCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final String CLOCK = "clock";
    private static final String NAME = "name";
    private static final String MACHINE = "machine";

    private MachineStatementCodec() {}

    static byte[] encode(List<MachineStatement> statements) {
        ArrayNode array = MAPPER.createArrayNode();
        for (MachineStatement statement : statements) {
            ObjectNode node = array.addObject().put(CLOCK, statement.clock()).put(NAME, statement.name());
            statement.machine().ifPresent(machine -> node.set(MACHINE, MAPPER.valueToTree(machine)));
        }
        return DocumentCodec.encode(array);
    }

    /** Decodes statements; throws {@code BaobabcartException} if the content is malformed. */
    static List<MachineStatement> decode(byte[] content) {
        List<MachineStatement> statements = new ArrayList<>();
        for (JsonNode node : DocumentCodec.decode(content)) {
            statements.add(statement(node));
        }
        return statements;
    }

    private static MachineStatement statement(JsonNode node) {
        long clock = node.path(CLOCK).asLong();
        if (!node.has(MACHINE)) {
            return MachineStatement.absent(clock, node.path(NAME).asText());
        }
        try {
            return MachineStatement.present(clock, MAPPER.convertValue(node.path(MACHINE), VirtualMachine.class));
        } catch (IllegalArgumentException exception) {
            throw BaobabcartException.of(ResultCode.BAD_REQUEST, "malformed statement about a VM")
                    .withCause(exception);
        }
    }
}
