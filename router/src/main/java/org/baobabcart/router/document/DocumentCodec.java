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

/** Encodes and decodes documents exchanged between peers as gzip-compressed JSON. Thread-safe. */
public final class DocumentCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final int MAX_DOCUMENT_BYTES = 4 * 1024 * 1024;

    private DocumentCodec() {}

    /** Returns the compressed form of a document. */
    public static byte[] encode(JsonNode specification) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
            gzip.write(MAPPER.writeValueAsBytes(specification));
        } catch (IOException exception) {
            throw BaobabcartException.of(ResultCode.INTERNAL).withCause(exception);
        }
        return bytes.toByteArray();
    }

    /** Returns the decoded document; throws {@code BaobabcartException} if it is larger than 4 MiB or malformed. */
    public static JsonNode decode(byte[] content) {
        try (GZIPInputStream gunzip = new GZIPInputStream(new ByteArrayInputStream(content))) {
            byte[] json = gunzip.readNBytes(MAX_DOCUMENT_BYTES + 1);
            if (json.length > MAX_DOCUMENT_BYTES) {
                throw BaobabcartException.of(ResultCode.BODY_TOO_LARGE, "document from a peer is too large");
            }
            return MAPPER.readTree(json);
        } catch (IOException exception) {
            throw BaobabcartException.of(ResultCode.BAD_REQUEST, "malformed document from a peer")
                    .withCause(exception);
        }
    }
}
