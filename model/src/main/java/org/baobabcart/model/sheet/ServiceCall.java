package org.baobabcart.model.sheet;

/**
 * A call of a plain service and how it may be repeated. Immutable.
 *
 * @param method the HTTP method in upper case
 * @param path the path below the service, beginning with a slash; calls below it match as well
 * @param repeatable whether the router may send the call more than once
 * @param keyRequired whether the caller must send an idempotency key
 */
public record ServiceCall(String method, String path, boolean repeatable, boolean keyRequired) {
    /** Whether the method and path fall under this call. */
    public boolean matches(String otherMethod, String otherPath) {
        return method.equals(otherMethod) && (otherPath.equals(path) || otherPath.startsWith(path + "/"));
    }
}
