package org.baobabcart.router.platform;

import java.util.Locale;

/** The kinds of calls to the platform's store, as metrics name them. */
enum StoreVerb {
    READ,
    LIST,
    WATCH,
    CREATE,
    UPDATE,
    UPDATE_STATUS,
    DELETE;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
