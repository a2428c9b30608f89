package org.baobabcart.policy.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The data centres that the operator has taken out of use, and when others were taken back. Immutable.
 *
 * @param isKnown whether the operator's orders have been read; until then every data centre counts as evacuated
 * @param dataCentres the data centres that are out of use
 * @param returns the times on this router's monotonic clock at which data centres were taken back
 */
public record Evacuations(boolean isKnown, Set<String> dataCentres, Map<String, Long> returns) {
    private static final Evacuations NONE = new Evacuations(true, Set.of(), Map.of());
    private static final Evacuations UNKNOWN = new Evacuations(false, Set.of(), Map.of());

    /** Copies the collections. */
    public Evacuations {
        dataCentres = Set.copyOf(dataCentres);
        returns = Map.copyOf(returns);
    }

    /** Returns the state in which all data centres are in use. */
    public static Evacuations none() {
        return NONE;
    }

    /** Returns the state of a router that has not read the operator's orders yet. */
    public static Evacuations unknown() {
        return UNKNOWN;
    }

    /** Returns whether the upstreams of a data centre must not receive anything new. */
    public boolean isEvacuated(String dataCentre) {
        return !isKnown || dataCentres.contains(dataCentre);
    }

    /** Returns when this router learned that a data centre was taken back; empty if it has seen no return of it. */
    public OptionalLong returnedNanos(String dataCentre) {
        Long returned = returns.get(dataCentre);
        return returned == null ? OptionalLong.empty() : OptionalLong.of(returned);
    }

    /** Returns the state after the operator's orders were read, in which these data centres are out of use. */
    public Evacuations withDataCentres(Set<String> newDataCentres, long nowNanos) {
        Map<String, Long> newReturns = new HashMap<>(returns);
        dataCentres.forEach(dataCentre -> newReturns.put(dataCentre, nowNanos));
        newReturns.keySet().removeAll(newDataCentres);
        return new Evacuations(true, newDataCentres, newReturns);
    }
}
