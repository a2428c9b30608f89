package org.baobabcart.router.gateway;

import java.util.Optional;
import org.baobabcart.model.gateway.KeyHolder;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.view.TrafficView;

/**
 * What the table in force says of a request. Immutable.
 *
 * @param table the table
 * @param route the request's route
 * @param holder who holds its key; empty on anonymous routes and where no keys are used
 */
record RouteMatch(RouteTable table, Route route, Optional<KeyHolder> holder) {
    private static final String NO_WORKSPACE = "";

    /**
     * Looks a request up.
     *
     * @throws BaobabcartException where no table is known or the table does not allow the request
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
     * What the table that is in force now says of the same request; this where the table is still the same.
     *
     * @throws BaobabcartException as {@link #of}
     */
    RouteMatch under(TrafficView view, RequestHead head) {
        return view.routes().filter(current -> current == table).isPresent() ? this : of(view, head);
    }

    /** The workspace, or an empty text for an anonymous caller. */
    String workspace() {
        return holder.map(KeyHolder::workspace).orElse(NO_WORKSPACE);
    }

    int rank() {
        return holder.map(known -> known.rankOn(route)).orElse(route.rank());
    }
}
