package org.baobabcart.router.key;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.security.SecureRandom;
import java.util.Optional;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.document.DocumentKind;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/**
 * Defines the document that stores the signing keys. The first router that finds no document in the platform creates
 * it. Thread-safe.
 */
public final class SessionSecretDocument {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final SecureRandom RANDOM = new SecureRandom();

    private SessionSecretDocument() {}

    /** Returns the document kind. */
    public static DocumentKind<SessionSecrets> kind() {
        return new DocumentKind<>(
                "session-keys",
                ObjectKinds.KEYS,
                ObjectKinds.CURRENT,
                SessionSecretDocument::read,
                MAPPER::valueToTree,
                SessionSecrets::generation,
                secrets -> EventFields.of(EventField.KEYS, secrets.secrets().size()),
                EventType.SESSION_KEYS_APPLIED,
                Optional.of(() -> SessionSecrets.empty().rotated(RANDOM)));
    }

    private static SessionSecrets read(JsonNode specification) {
        try {
            return MAPPER.treeToValue(specification, SessionSecrets.class);
        } catch (JsonProcessingException exception) {
            throw BaobabcartException.of(ResultCode.BAD_REQUEST, "the signing keys document is not valid");
        }
    }
}
