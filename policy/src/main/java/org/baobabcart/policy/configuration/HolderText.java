package org.baobabcart.policy.configuration;

import org.baobabcart.model.gateway.KeyHolder;

/** Describes holders of keys in messages. */
final class HolderText {
    private HolderText() {}

    /** Returns the workspace, with its rank unless the route's rank applies. */
    static String of(KeyHolder holder) {
        return holder.rank() < 0 ? holder.workspace() : holder.workspace() + " (rank " + holder.rank() + ")";
    }
}
