package org.baobabcart.model.gateway;

import java.util.List;

/**
 * A holder of API keys as a configuration lists it. Immutable.
 *
 * @param holder the workspace of the keys
 * @param keys the keys in the configured order
 */
public record TenantEntry(KeyHolder holder, List<String> keys) {
    /** Copies the list. */
    public TenantEntry {
        keys = List.copyOf(keys);
    }
}
