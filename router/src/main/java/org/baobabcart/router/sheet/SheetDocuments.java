package org.baobabcart.router.sheet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.Optional;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.SheetProblem;
import org.baobabcart.model.sheet.SheetReader;
import org.baobabcart.router.document.DocumentKind;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/** Defines the documents of the sheet and the roll-out state. Thread-safe. */
public final class SheetDocuments {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final SheetReader READER = SheetReader.create();

    private SheetDocuments() {}

    /** Returns the document kind of the published sheet. */
    public static DocumentKind<PublishedSheet> sheet() {
        return new DocumentKind<>(
                "sheet",
                ObjectKinds.SHEETS,
                ObjectKinds.CURRENT,
                SheetDocuments::readSheet,
                SheetDocuments::write,
                PublishedSheet::generation,
                sheet -> EventFields.of(EventField.GENERATION, sheet.generation())
                        .with(EventField.NAME, sheet.sheet().name()),
                EventType.SHEET_APPLIED,
                Optional.empty());
    }

    /** Returns the document kind of the roll-out state: progress and withdrawals. */
    public static DocumentKind<RollOutState> rollOuts() {
        return new DocumentKind<>(
                "roll-outs",
                ObjectKinds.ROLL_OUTS,
                ObjectKinds.CURRENT,
                specification -> read(specification, RollOutState.class),
                SheetDocuments::write,
                RollOutState::generation,
                state -> EventFields.of(EventField.GENERATION, state.generation())
                        .with(EventField.WITHDRAWALS, state.withdrawals().size()),
                EventType.ROLL_OUT_CHANGED,
                Optional.empty());
    }

    /**
     * Reads and validates a published sheet.
     *
     * @throws BaobabcartException with {@link ResultCode#SHEET_INVALID}
     */
    public static PublishedSheet readSheet(JsonNode specification) {
        PublishedSheet published = read(specification, PublishedSheet.class);
        if (published.sheet() == null) {
            throw BaobabcartException.of(ResultCode.SHEET_INVALID, "$.sheet: is missing");
        }
        List<SheetProblem> problems = READER.check(published.sheet());
        if (!problems.isEmpty()) {
            throw BaobabcartException.of(ResultCode.SHEET_INVALID, problems.toString());
        }
        return published;
    }

    /** Reads the roll-out state. */
    public static RollOutState readRollOuts(JsonNode specification) {
        return read(specification, RollOutState.class);
    }

    /** Converts a document to a JSON tree. */
    public static JsonNode write(Object document) {
        return MAPPER.valueToTree(document);
    }

    private static <T> T read(JsonNode specification, Class<T> type) {
        try {
            return MAPPER.treeToValue(specification, type);
        } catch (JsonProcessingException exception) {
            throw BaobabcartException.of(ResultCode.SHEET_INVALID, exception.getOriginalMessage())
                    .withCause(exception);
        }
    }
}
