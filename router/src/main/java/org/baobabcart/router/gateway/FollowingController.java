package org.baobabcart.router.gateway;

import io.smallrye.mutiny.Uni;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.platform.ObjectInformer;

/** Base class of controllers that act only on changes reported by an object follower. Confined to the control thread. */
abstract class FollowingController implements Controller {
    /** Returns the follower; every call must return the same instance. */
    abstract ObjectInformer follower();

    @Override
    public final void start() {
        follower().start();
    }

    @Override
    public final Uni<Void> stop() {
        follower().stop();
        return Uni.createFrom().voidItem();
    }
}
