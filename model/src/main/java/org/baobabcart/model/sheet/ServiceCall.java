package org.baobabcart.model.sheet;

/**
 * A declared call of a service, with its rules for repetition. Immutable.
 *
 * @param method the HTTP method in upper case
 * @param path the path relative to the service, with a leading slash; subpaths match as well
 * @param repeatable whether the router may send the call more than once
 * @param keyRequired whether the caller must send an idempotency key
 */
public record ServiceCall(String method, String path, boolean repeatable, boolean keyRequired) {
    /** Returns whether the method is equal and the path is equal to this path or a subpath of it. */
    public boolean matches(String otherMethod, String otherPath) {
        return method.equals(otherMethod) && (otherPath.equals(path) || otherPath.startsWith(path + "/"));
    }
}
