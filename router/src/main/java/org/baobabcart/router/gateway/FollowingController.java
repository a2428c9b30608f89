package org.baobabcart.router.gateway;

import io.smallrye.mutiny.Uni;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.platform.ObjectInformer;

/** Base class of controllers that act only on changes reported by an {@link ObjectInformer}. Confined to the control thread. */
abstract class FollowingController implements Controller {
    /** Returns the informer; every call must return the same instance. */
    abstract ObjectInformer<?> informer();

    @Override
    public void start() {
        informer().start();
    }

    @Override
    public final Uni<Void> stop() {
        informer().stop();
        return Uni.createFrom().voidItem();
    }
}
