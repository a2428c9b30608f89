package org.baobabcart.router.relay;

import java.util.Collection;

/** What the watch of a kind needs to know of the relays. Confined to the control thread. */
interface RelayView {
    /** Returns whether this router has to follow the store itself, since it is a relay or others subscribe to it. */
    boolean followsDirectly();

    /** Returns what the relays have told that are not silent. */
    Collection<RelayedNews> news();
}
