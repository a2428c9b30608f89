package org.baobabcart.router.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabcart.model.request.EventId;
import org.baobabcart.model.request.PromptPart;

/**
 * The decoded head of an opaque request. Immutable by contract: the headers are not changed after construction.
 *
 * @param id the request id of the caller, sent with each attempt
 * @param method the HTTP method
 * @param host the requested host
 * @param target the path and query as received
 * @param key the caller's key, if present
 * @param deadline the time that the caller waits, from the arrival of the head; empty if not stated
 * @param model the model that the caller names; empty if any model of the route may answer, and for services without models
 * @param tokens the size of the prompt and the response
 * @param prefix the parts of the prompt in order
 * @param session a name shared by the requests of a session, if present
 * @param resumeAfter the id of the last event that the caller has received, if it resumes a stream
 * @param forwarded the headers that are forwarded unchanged to the upstream
 */
public record RequestHead(
        String id,
        HttpMethod method,
        String host,
        String target,
        Optional<String> key,
        Optional<Duration> deadline,
        Optional<String> model,
        Tokens tokens,
        List<PromptPart> prefix,
        Optional<String> session,
        Optional<EventId> resumeAfter,
        MultiMap forwarded) {
    private static final char QUERY = '?';

    /** Copies the list. */
    public RequestHead {
        prefix = List.copyOf(prefix);
    }

    /** Returns the path without the query. */
    public String path() {
        int query = target.indexOf(QUERY);
        return query < 0 ? target : target.substring(0, query);
    }

    /**
     * Returns a key shared by requests with a common prompt prefix: the id of the second to last part, since the last part belongs to
     * a single request. Empty for fewer than two parts.
     */
    public String affinity() {
        return prefix.size() < 2 ? "" : prefix.get(prefix.size() - 2).id();
    }

    /**
     * The size of a request in tokens; zero if unknown.
     *
     * @param prompt the number of tokens of the prompt
     * @param maxOutput the maximum number of tokens of the response
     */
    public record Tokens(int prompt, int maxOutput) {
        /** Returns the size of a request without a model. */
        public static Tokens none() {
            return new Tokens(0, 0);
        }
    }
}
