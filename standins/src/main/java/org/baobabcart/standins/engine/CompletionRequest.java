package org.baobabcart.standins.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * A parsed OpenAI-compatible completion request. Immutable.
 *
 * @param text the whole prompt
 * @param tokens the number of tokens to generate
 * @param stream whether the response is sent as server-sent events
 * @param chat whether the request was sent to the chat endpoint
 */
record CompletionRequest(String text, int tokens, boolean stream, boolean chat) {
    private static final int DEFAULT_TOKENS = 16;
    private static final int MAX_TOKENS = 8192;
    private static final int CHARACTERS_PER_TOKEN = 4;

    static CompletionRequest of(JsonObject body, boolean chat) {
        Integer limit = body.getInteger("max_tokens", body.getInteger("max_completion_tokens"));
        int tokens = limit == null ? DEFAULT_TOKENS : Math.max(1, Math.min(MAX_TOKENS, limit));
        String text = chat ? joinMessages(body.getJsonArray("messages")) : String.valueOf(body.getValue("prompt"));
        return new CompletionRequest(text, tokens, body.getBoolean("stream", false), chat);
    }

    int promptTokens() {
        return tokenCount(text.length());
    }

    static int tokenCount(int characters) {
        return (characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
    }

    private static String joinMessages(JsonArray messages) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; messages != null && index < messages.size(); index++) {
            JsonObject message = messages.getJsonObject(index);
            text.append(message.getString("role")).append(": ");
            text.append(message.getValue("content")).append('\n');
        }
        return text.toString();
    }
}
