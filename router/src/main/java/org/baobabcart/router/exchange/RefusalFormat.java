package org.baobabcart.router.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/** Writes responses to requests that are refused before they are parsed. Thread-safe. */
final class RefusalFormat {
    private static final String LINE_END = "\r\n";

    private final ExchangeDependencies dependencies;

    private RefusalFormat(ExchangeDependencies dependencies) {
        this.dependencies = dependencies;
    }

    static RefusalFormat of(ExchangeDependencies dependencies) {
        return new RefusalFormat(dependencies);
    }

    /** Records a refusal and returns its response, after which the connection is closed. */
    ByteBuf encode(ResultCode code) {
        ErrorFormat format = dependencies.errorFormat();
        CallerError error = CallerError.of(BaobabcartException.of(code), false, format.defaultRetryAfter());
        dependencies
                .metrics()
                .meter(format.metricPrefix() + ".refusals." + code.name())
                .mark();
        EventFields fields = EventFields.of(EventField.CODE, code.number())
                .with(EventField.RESULT, code)
                .with(EventField.RAN, error.ran().text())
                .with(EventField.CAUSE, "the head was not parsed");
        dependencies.timeline().record(EventType.REQUEST_REFUSED, "", fields);
        String body = error.toJson();
        StringBuilder response = new StringBuilder("HTTP/1.1 ")
                .append(format.httpStatus(error))
                .append(" Refused")
                .append(LINE_END);
        format.headers("", error)
                .forEach((name, value) ->
                        response.append(name).append(": ").append(value).append(LINE_END));
        response.append("Connection: close").append(LINE_END);
        response.append("Content-Length: ")
                .append(body.length())
                .append(LINE_END)
                .append(LINE_END);
        return Unpooled.copiedBuffer(response.append(body), StandardCharsets.US_ASCII);
    }
}
