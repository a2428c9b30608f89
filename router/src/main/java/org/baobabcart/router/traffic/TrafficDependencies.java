package org.baobabcart.router.traffic;

import com.codahale.metrics.MetricRegistry;
import java.util.function.Supplier;
import org.baobabcart.policy.session.SessionSigner;
import org.baobabcart.router.bill.BillService;
import org.baobabcart.router.claim.ClaimService;
import org.baobabcart.router.crash.CrashLedger;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.router.view.TrafficFeedback;
import org.baobabcart.router.view.TrafficViewSource;

/**
 * The dependencies of the caller API, all of them thread-safe. Immutable.
 *
 * @param views the control state
 * @param claims claims of idempotency keys
 * @param bills the bill service
 * @param feedback receives observations for the control thread
 * @param crashes the crashes of upstreams that are known
 * @param timeline the time line of events
 * @param metrics metrics of the process
 * @param ratings the client of the rating service
 * @param signer supplies the session signer with the current keys
 */
public record TrafficDependencies(
        TrafficViewSource views,
        ClaimService claims,
        BillService bills,
        TrafficFeedback feedback,
        CrashLedger crashes,
        Timeline timeline,
        MetricRegistry metrics,
        RatingClient ratings,
        Supplier<SessionSigner> signer) {}
