package org.baobabcart.model.platform;

/** The object kinds (collections) and object names that the system uses in the platform's object API. */
public final class ObjectKinds {
    /** The collection of published sheets. */
    public static final String SHEETS = "sheets";
    /** The collection of roll-out states. */
    public static final String ROLL_OUTS = "rollouts";
    /** The collection of claim journals, with one object per partition. */
    public static final String CLAIMS = "claims";
    /** The collection of bill segments. */
    public static final String BILLS = "bills";
    /** The collection of signing keys. */
    public static final String KEYS = "keys";
    /** The collection of leases. */
    public static final String LEASES = "leases";
    /** The collection of {@link FleetEndpoints}. */
    public static final String ENDPOINTS = "endpoints";

    /** The object name in collections with a single object. */
    public static final String CURRENT = "current";

    private ObjectKinds() {}
}
