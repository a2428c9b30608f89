package org.baobabcart.load;

/**
 * A workspace that sends load. Immutable.
 *
 * @param name the workspace's name in the report
 * @param key the key that callers send
 * @param share the share of requests, relative to the other workspaces
 */
public record LoadWorkspace(String name, String key, double share) {}
