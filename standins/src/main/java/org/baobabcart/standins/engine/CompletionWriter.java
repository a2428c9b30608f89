package org.baobabcart.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.function.BooleanSupplier;

/**
 * Writes one completion in the format of the OpenAI API. The text is a function of model, version, quality and number
 * of tokens, so that tests can check whether it is complete. Confined to the event loop.
 */
final class CompletionWriter {
    private final HttpServerResponse response;
    private final BooleanSupplier silenced;
    private final CompletionRequest request;
    private final String id;
    private final String model;
    private final String textPrefix;
    private final StringBuilder text = new StringBuilder();

    CompletionWriter(
            HttpServerResponse response,
            BooleanSupplier silenced,
            CompletionRequest request,
            String id,
            String model,
            String textPrefix) {
        this.response = response;
        this.silenced = silenced;
        this.request = request;
        this.id = id;
        this.model = model;
        this.textPrefix = textPrefix;
    }

    /** Appends the next token and, if the response is streamed, writes it. */
    void writeToken(int number, int total) {
        String prefix = number == 1 ? textPrefix : "";
        String suffix = number == total ? " end" : "";
        String piece = prefix + " t" + number + suffix;
        text.append(piece);
        if (request.stream() && !cannotWrite()) {
            setStreamHeaders();
            response.write(event(choice(piece, false), null));
        }
    }

    /** Completes the response. */
    void finish() {
        if (cannotWrite()) {
            return;
        }
        if (request.stream()) {
            response.write(event(choice("", true), usage()));
            response.end("data: [DONE]\n\n");
        } else {
            JsonObject body = body(choice(text.toString(), true), usage());
            response.putHeader("Content-Type", "application/json").end(body.encode());
        }
    }

    /** Responds with an error, or resets the response if its head has been written. */
    void fail() {
        if (cannotWrite()) {
            return;
        }
        if (response.headWritten()) {
            response.reset();
        } else {
            response.setStatusCode(500).end("{\"error\":{\"message\":\"failed after start\"}}");
        }
    }

    private boolean cannotWrite() {
        return silenced.getAsBoolean() || response.closed() || response.ended();
    }

    private void setStreamHeaders() {
        if (!response.headWritten()) {
            response.setChunked(true).putHeader("Content-Type", "text/event-stream");
        }
    }

    private String event(JsonObject choice, JsonObject usage) {
        return "data: " + body(choice, usage).encode() + "\n\n";
    }

    private JsonObject body(JsonObject choice, JsonObject usage) {
        String object = request.chat() ? chatObjectType() : "text_completion";
        JsonObject body = new JsonObject()
                .put("id", id)
                .put("object", object)
                .put("created", System.currentTimeMillis() / 1000)
                .put("model", model)
                .put("choices", new JsonArray().add(choice));
        return usage == null ? body : body.put("usage", usage);
    }

    private String chatObjectType() {
        return request.stream() ? "chat.completion.chunk" : "chat.completion";
    }

    private JsonObject choice(String piece, boolean last) {
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", last ? "stop" : null);
        if (!request.chat()) {
            return choice.put("text", piece);
        }
        JsonObject message = new JsonObject().put("role", "assistant").put("content", piece);
        return choice.put(request.stream() ? "delta" : "message", message);
    }

    private JsonObject usage() {
        int promptTokens = request.promptTokens();
        return new JsonObject()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", request.tokens())
                .put("total_tokens", promptTokens + request.tokens());
    }
}
