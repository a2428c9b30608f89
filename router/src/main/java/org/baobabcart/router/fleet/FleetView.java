package org.baobabcart.router.fleet;

import java.util.List;

/**
 * The registered routers as this router last read them. Immutable.
 *
 * <p>Views of different routers may differ, and a listed router may have ended. A decision that bounds a sum over all routers has to hold
 * the bound for differing views as well.
 *
 * @param self the name of this router
 * @param dataCentre the name of its data centre
 * @param members the registered routers with this one, sorted by name; empty before the first read and without a fleet
 */
public record FleetView(String self, String dataCentre, List<FleetMember> members) {
    /** Copies the list. */
    public FleetView {
        members = List.copyOf(members);
    }

    /** Returns the view of a router that knows no others. */
    public static FleetView unknown() {
        return new FleetView("", "", List.of());
    }

    /** Returns whether the registrations have been read. */
    public boolean isKnown() {
        return !members.isEmpty();
    }

    /** Returns the members in a data centre. */
    public List<FleetMember> membersIn(String otherDataCentre) {
        return members.stream()
                .filter(member -> member.dataCentre().equals(otherDataCentre))
                .toList();
    }
}
