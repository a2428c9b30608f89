package org.baobabcart.router.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Documents as encode JSON between peers. Thread-safe. */
public final class DocumentCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final int LARGEST_BYTES = 4 * 1024 * 1024;

    private DocumentCodec() {}

    /** Compresses a document. */
    public static byte[] encode(JsonNode specification) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream compressing = new GZIPOutputStream(bytes)) {
            compressing.write(MAPPER.writeValueAsBytes(specification));
        } catch (IOException exception) {
            throw BaobabcartException.of(ResultCode.INTERNAL).withCause(exception);
        }
        return bytes.toByteArray();
    }

    /** Reads a document; throws {@code BaobabcartException} where it is too large or no document. */
    public static JsonNode decode(byte[] content) {
        try (GZIPInputStream expanding = new GZIPInputStream(new ByteArrayInputStream(content))) {
            byte[] json = expanding.readNBytes(LARGEST_BYTES + 1);
            if (json.length > LARGEST_BYTES) {
                throw BaobabcartException.of(ResultCode.BODY_TOO_LARGE, "a document from a peer");
            }
            return MAPPER.readTree(json);
        } catch (IOException exception) {
            throw BaobabcartException.of(ResultCode.BAD_REQUEST, "a document from a peer cannot be read")
                    .withCause(exception);
        }
    }
}
