package org.baobabcart.router.peer;

import io.vertx.core.buffer.Buffer;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * Encodes and decodes messages of the peer protocol as frames in Thrift's compact encoding. Immutable and thread-safe.
 */
final class PeerCodec {
    private static final int INITIAL_BUFFER_BYTES = 512;
    private static final int MAX_NESTING = 32;

    private final int maxFrameBytes;

    PeerCodec(int maxFrameBytes) {
        this.maxFrameBytes = maxFrameBytes;
    }

    Buffer call(String method, int sequence, TBase<?, ?> arguments) {
        return message(new TMessage(method, TMessageType.CALL, sequence), arguments);
    }

    Buffer reply(String method, int sequence, TBase<?, ?> result) {
        return message(new TMessage(method, TMessageType.REPLY, sequence), result);
    }

    Buffer failure(String method, int sequence, int type, String text) {
        try {
            TMemoryBuffer memory = new TMemoryBuffer(INITIAL_BUFFER_BYTES);
            TProtocol protocol = new TCompactProtocol(memory);
            protocol.writeMessageBegin(new TMessage(method, TMessageType.EXCEPTION, sequence));
            new TApplicationException(type, text).write(protocol);
            protocol.writeMessageEnd();
            return PeerFrameDecoder.frame(memory.getArray(), memory.length());
        } catch (TException exception) {
            throw BaobabcartException.of(ResultCode.INTERNAL).withCause(exception);
        }
    }

    TProtocol reader(byte[] frame) throws TException {
        TConfiguration configuration = new TConfiguration(maxFrameBytes, maxFrameBytes, MAX_NESTING);
        return new TCompactProtocol(new TMemoryInputTransport(configuration, frame));
    }

    private Buffer message(TMessage header, TBase<?, ?> content) {
        try {
            TMemoryBuffer memory = new TMemoryBuffer(INITIAL_BUFFER_BYTES);
            TProtocol protocol = new TCompactProtocol(memory);
            protocol.writeMessageBegin(header);
            content.write(protocol);
            protocol.writeMessageEnd();
            return bounded(memory);
        } catch (TException exception) {
            throw BaobabcartException.of(ResultCode.INTERNAL, String.valueOf(exception.getMessage()))
                    .withCause(exception);
        }
    }

    private Buffer bounded(TMemoryBuffer memory) {
        if (memory.length() > maxFrameBytes) {
            throw BaobabcartException.of(ResultCode.BODY_TOO_LARGE, memory.length() + " bytes in a frame to a peer");
        }
        return PeerFrameDecoder.frame(memory.getArray(), memory.length());
    }
}
