package org.baobabcart.standins.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.function.BooleanSupplier;

/**
 * Writes one answer in the shape of the OpenAI API. The text is a function of model, version, quality and number of
 * tokens, so that a check knows whether it is whole. Confined to the event loop.
 */
final class CompletionWriter {
    private final HttpServerResponse response;
    private final BooleanSupplier silent;
    private final CompletionRequest prompt;
    private final String id;
    private final String model;
    private final String opening;
    private final StringBuilder text = new StringBuilder();

    CompletionWriter(
            HttpServerResponse response,
            BooleanSupplier silent,
            CompletionRequest prompt,
            String id,
            String model,
            String opening) {
        this.response = response;
        this.silent = silent;
        this.prompt = prompt;
        this.id = id;
        this.model = model;
        this.opening = opening;
    }

    /** Takes the next token. */
    void token(int number, int total) {
        String start = number == 1 ? opening : "";
        String end = number == total ? " end" : "";
        String piece = start + " t" + number + end;
        text.append(piece);
        if (prompt.stream() && !unusable()) {
            begin();
            response.write(event(choice(piece, false), null));
        }
    }

    /** Ends the answer. */
    void finish() {
        if (unusable()) {
            return;
        }
        if (prompt.stream()) {
            response.write(event(choice("", true), usage()));
            response.end("data: [DONE]\n\n");
        } else {
            JsonObject body = body(choice(text.toString(), true), usage());
            response.putHeader("Content-Type", "application/json").end(body.encode());
        }
    }

    /** Answers with a failure, or breaks the connection where the answer has begun. */
    void fail() {
        if (unusable()) {
            return;
        }
        if (response.headWritten()) {
            response.reset();
        } else {
            response.setStatusCode(500).end("{\"error\":{\"message\":\"failed after start\"}}");
        }
    }

    private boolean unusable() {
        return silent.getAsBoolean() || response.closed() || response.ended();
    }

    private void begin() {
        if (!response.headWritten()) {
            response.setChunked(true).putHeader("Content-Type", "text/event-stream");
        }
    }

    private String event(JsonObject choice, JsonObject usage) {
        return "data: " + body(choice, usage).encode() + "\n\n";
    }

    private JsonObject body(JsonObject choice, JsonObject usage) {
        String object = prompt.chat() ? chatObject() : "text_completion";
        JsonObject body = new JsonObject()
                .put("id", id)
                .put("object", object)
                .put("created", System.currentTimeMillis() / 1000)
                .put("model", model)
                .put("choices", new JsonArray().add(choice));
        return usage == null ? body : body.put("usage", usage);
    }

    private String chatObject() {
        return prompt.stream() ? "chat.completion.chunk" : "chat.completion";
    }

    private JsonObject choice(String piece, boolean last) {
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", last ? "stop" : null);
        if (!prompt.chat()) {
            return choice.put("text", piece);
        }
        JsonObject message = new JsonObject().put("role", "assistant").put("content", piece);
        return choice.put(prompt.stream() ? "delta" : "message", message);
    }

    private JsonObject usage() {
        int promptTokens = prompt.promptTokens();
        return new JsonObject()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", prompt.tokens())
                .put("total_tokens", promptTokens + prompt.tokens());
    }
}
