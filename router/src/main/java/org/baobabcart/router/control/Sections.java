package org.baobabcart.router.control;

import java.util.List;
import java.util.Optional;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.policy.upstream.Evacuations;
import org.baobabcart.policy.version.TrackedVersionOrder;
import org.baobabcart.router.fleet.FleetView;
import org.baobabcart.router.key.SessionSecrets;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;
import org.baobabcart.router.order.OrderLease;
import org.baobabcart.router.order.OrderStatus;

/** The sections of the blackboard and the component that writes each. */
public final class Sections {
    /** The sheet in force; written by the sheet controller. */
    public static final Section<Optional<PublishedSheet>> SHEET = Section.named("sheet", Optional.empty());

    /** The progress of roll-outs and the withdrawals; written by the roll-out controller. */
    public static final Section<RollOutState> ROLL_OUTS = Section.named("roll-outs", RollOutState.empty());

    /** The keys that sign session tokens; written by the document controller. */
    public static final Section<SessionSecrets> SESSION_SECRETS =
            Section.named("session-secrets", SessionSecrets.empty());

    /** The known routers; written by the membership controller. */
    public static final Section<Members> MEMBERS =
            Section.named("members", Members.alone(new Member("", 0, Member.State.ALIVE, "", "", "")));

    /**
     * The platform's list of VMs as last read; written by the machine list controller or the gateway's upstream
     * controller.
     */
    public static final Section<List<VirtualMachine>> VIRTUAL_MACHINES = Section.named("virtual-machines", List.of());

    /** Whether the platform answered the last calls; written by the monitored object store. */
    public static final Section<Boolean> PLATFORM_REACHABLE = Section.named("platform-reachable", false);

    /** The lease on orders to engines, if this router holds it; written by the lease controller. */
    public static final Section<Optional<OrderLease>> ORDER_LEASE = Section.named("order-lease", Optional.empty());

    /** The status of orders to engines; written by the order controller. */
    public static final Section<OrderStatus> ORDERS = Section.named("orders", OrderStatus.none());

    /** Whether a planned stop has begun; written by the process. */
    public static final Section<Boolean> STOPPING = Section.named("stopping", false);

    /**
     * Whether new requests are refused, since the balancer delay of a planned stop has passed; written by the process.
     */
    public static final Section<Boolean> DRAINING = Section.named("draining", false);

    /** The route table in force for the opaque request path; written by the gateway's route controller. */
    public static final Section<Optional<RouteTable>> ROUTES = Section.named("routes", Optional.empty());

    /** Orders to move services to other versions; written by the gateway's version order controller. */
    public static final Section<List<TrackedVersionOrder>> VERSION_ORDERS = Section.named("version-orders", List.of());

    /** The registered routers on the opaque request path; written by the gateway's fleet controller. */
    public static final Section<FleetView> FLEET = Section.named("fleet", FleetView.unknown());

    /** The data centres that the operator has taken out of use; written by the gateway's evacuation controller. */
    public static final Section<Evacuations> EVACUATED = Section.named("evacuated", Evacuations.none());

    private Sections() {}
}
