package org.baobabcart.router.traffic;

import com.codahale.metrics.MetricRegistry;
import java.util.function.Supplier;
import org.baobabcart.policy.session.SessionSigner;
import org.baobabcart.router.bill.BillService;
import org.baobabcart.router.claim.ClaimService;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.router.view.TrafficFeedback;
import org.baobabcart.router.view.TrafficViewSource;

/**
 * The parts that the caller API works with; each is thread-safe. Immutable.
 *
 * @param views the control state
 * @param claims claims of idempotency keys
 * @param bills bills
 * @param feedback observations for the control thread
 * @param timeline events
 * @param metrics metrics of the process
 * @param ratings the service that rates answers
 * @param signer the session signer with the keys known at the time of the call
 */
public record TrafficParts(
        TrafficViewSource views,
        ClaimService claims,
        BillService bills,
        TrafficFeedback feedback,
        Timeline timeline,
        MetricRegistry metrics,
        RatingClient ratings,
        Supplier<SessionSigner> signer) {}
