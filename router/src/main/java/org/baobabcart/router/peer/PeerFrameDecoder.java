package org.baobabcart.router.peer;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;

/**
 * Decoder that splits a byte stream into frames, each preceded by its length as four bytes in network order. Confined
 * to the event loop of its connection.
 */
final class PeerFrameDecoder implements Handler<Buffer> {
    private static final int HEADER_BYTES = 4;

    private final int maxFrameBytes;
    private final Handler<byte[]> frameHandler;
    private final Runnable onInvalidLength;
    private Buffer buffer = Buffer.buffer();
    private boolean failed;

    PeerFrameDecoder(int maxFrameBytes, Handler<byte[]> frameHandler, Runnable onInvalidLength) {
        this.maxFrameBytes = maxFrameBytes;
        this.frameHandler = frameHandler;
        this.onInvalidLength = onInvalidLength;
    }

    /** Returns a frame with its length header. */
    static Buffer frame(byte[] content, int length) {
        return Buffer.buffer(HEADER_BYTES + length).appendInt(length).appendBytes(content, 0, length);
    }

    @Override
    public void handle(Buffer received) {
        if (failed) {
            return;
        }
        buffer.appendBuffer(received);
        int position = 0;
        while (hasFrame(position)) {
            int length = buffer.getInt(position);
            int end = position + HEADER_BYTES + length;
            frameHandler.handle(buffer.getBytes(position + HEADER_BYTES, end));
            position = end;
        }
        buffer = position == 0 ? buffer : buffer.getBuffer(position, buffer.length());
    }

    private boolean hasFrame(int position) {
        int available = buffer.length() - position - HEADER_BYTES;
        if (failed || available < 0) {
            return false;
        }
        int length = buffer.getInt(position);
        if (length < 0 || length > maxFrameBytes) {
            failed = true;
            onInvalidLength.run();
            return false;
        }
        return available >= length;
    }
}
