package org.baobabcart.router.peer;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;

/**
 * Splits a byte stream into frames: a length of four bytes in network order, then as many bytes. Confined to the event
 * loop of its connection.
 */
final class PeerFrameDecoder implements Handler<Buffer> {
    private static final int HEADER_BYTES = 4;

    private final int maxFrameBytes;
    private final Handler<byte[]> frames;
    private final Runnable tooLarge;
    private Buffer pending = Buffer.buffer();
    private boolean failed;

    PeerFrameDecoder(int maxFrameBytes, Handler<byte[]> frames, Runnable tooLarge) {
        this.maxFrameBytes = maxFrameBytes;
        this.frames = frames;
        this.tooLarge = tooLarge;
    }

    static Buffer frame(byte[] content, int length) {
        return Buffer.buffer(HEADER_BYTES + length).appendInt(length).appendBytes(content, 0, length);
    }

    @Override
    public void handle(Buffer received) {
        if (failed) {
            return;
        }
        pending.appendBuffer(received);
        int position = 0;
        while (hasFrame(position)) {
            int length = pending.getInt(position);
            int end = position + HEADER_BYTES + length;
            frames.handle(pending.getBytes(position + HEADER_BYTES, end));
            position = end;
        }
        pending = position == 0 ? pending : pending.getBuffer(position, pending.length());
    }

    private boolean hasFrame(int position) {
        int available = pending.length() - position - HEADER_BYTES;
        if (failed || available < 0) {
            return false;
        }
        int length = pending.getInt(position);
        if (length < 0 || length > maxFrameBytes) {
            failed = true;
            tooLarge.run();
            return false;
        }
        return available >= length;
    }
}
