package org.baobabcart.router.gateway;

import java.util.Optional;
import org.baobabcart.model.gateway.KeyHolder;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.view.TrafficView;

/**
 * The route and key holder that the active route table assigns to a request. Immutable.
 *
 * @param table the route table that was consulted
 * @param route the matching route
 * @param holder the holder of the request's key; empty on anonymous routes and if the table requires no keys
 */
record RouteMatch(RouteTable table, Route route, Optional<KeyHolder> holder) {
    private static final String NO_WORKSPACE = "";

    /**
     * Matches a request against the active route table.
     *
     * @throws BaobabcartException if no table is loaded, no route matches or the key is unknown
     */
    static RouteMatch of(TrafficView view, RequestHead head) {
        RouteTable table = view.routes().orElseThrow(() -> BaobabcartException.of(ResultCode.NOT_READY));
        Route route = table.route(head.host(), head.path())
                .orElseThrow(() -> BaobabcartException.of(ResultCode.UNKNOWN_PATH));
        if (!table.keysRequired() || route.anonymous()) {
            return new RouteMatch(table, route, Optional.empty());
        }
        KeyHolder holder =
                head.key().flatMap(table::holder).orElseThrow(() -> BaobabcartException.of(ResultCode.UNKNOWN_KEY));
        return new RouteMatch(table, route, Optional.of(holder));
    }

    /**
     * Matches the request again if the active table has changed since; returns this instance otherwise.
     *
     * @throws BaobabcartException under the same conditions as {@link #of}
     */
    RouteMatch refreshed(TrafficView view, RequestHead head) {
        return view.routes().filter(active -> active == table).isPresent() ? this : of(view, head);
    }

    /** Returns the workspace of the key holder, or an empty string for an anonymous caller. */
    String workspace() {
        return holder.map(KeyHolder::workspace).orElse(NO_WORKSPACE);
    }

    int rank() {
        return holder.map(keyHolder -> keyHolder.rankOn(route)).orElse(route.rank());
    }
}
