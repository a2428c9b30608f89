package org.baobabcart.model.sheet;

import java.util.List;
import java.util.Optional;

/**
 * An HTTP service that is not a model engine. Immutable.
 *
 * @param name the name used in the path {@code /services/{name}/}
 * @param calls the calls with declared rules; any other call may be repeated
 * @param retentionSeconds the retention time of the outcomes of idempotency keys, in seconds
 */
public record Service(String name, List<ServiceCall> calls, long retentionSeconds) {
    /** Copies the list of calls and replaces null by an empty list. */
    public Service {
        calls = Lists.copyOrEmpty(calls);
    }

    /** Returns the first declared call that matches a method and a path relative to the service, if any. */
    public Optional<ServiceCall> call(String method, String path) {
        return calls.stream().filter(call -> call.matches(method, path)).findFirst();
    }
}
