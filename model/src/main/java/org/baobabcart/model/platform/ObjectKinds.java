package org.baobabcart.model.platform;

/** Collections and object names that the system uses in the platform's object API. */
public final class ObjectKinds {
    /** The collection of published sheets. */
    public static final String SHEETS = "sheets";
    /** The collection of roll-out states. */
    public static final String ROLL_OUTS = "rollouts";
    /** The collection of claim journals, one object a partition. */
    public static final String CLAIMS = "claims";
    /** The collection of bill segments. */
    public static final String BILLS = "bills";
    /** The collection of signing keys. */
    public static final String KEYS = "keys";
    /** The collection of leases. */
    public static final String LEASES = "leases";
    /** The collection that tells operators' tools where the fleet is found. */
    public static final String ENDPOINTS = "endpoints";

    /** The name of the one object in force in a collection that has just one. */
    public static final String CURRENT = "current";

    private ObjectKinds() {}
}
