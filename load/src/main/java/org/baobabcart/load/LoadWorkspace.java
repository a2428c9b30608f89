package org.baobabcart.load;

/**
 * A workspace that sends load. Immutable.
 *
 * @param name the workspace's name, for the report
 * @param key the key that its callers send
 * @param share its share of all requests relative to the other workspaces
 */
public record LoadWorkspace(String name, String key, double share) {}
