package org.baobabcart.model.sheet;

import java.util.List;
import java.util.Optional;

/**
 * A plain service beside the model engines. Immutable.
 *
 * @param name the name used in the path {@code /services/{name}/}
 * @param calls calls that need special care; any other call may be repeated
 * @param retentionSeconds how long outcomes of idempotency keys are kept, in seconds
 */
public record Service(String name, List<ServiceCall> calls, long retentionSeconds) {
    /** Copies the list of calls. */
    public Service {
        calls = Lists.copyOrEmpty(calls);
    }

    /** The declared call that matches a method and a path below the service, if any. */
    public Optional<ServiceCall> call(String method, String path) {
        return calls.stream().filter(call -> call.matches(method, path)).findFirst();
    }
}
