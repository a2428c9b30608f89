package org.baobabcart.router.upstream;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.router.view.TrafficViewSource;

/**
 * Detects that this router has lost all upstreams, while callers and the platform still reach it: no upstream of a sample accepts a connection. Upstreams
 * of a service that is down are no sign of it, as those of other services still answer.
 *
 * <p>Upstreams that are very busy may refuse further connections for a moment and go on with open ones. While anything arrives from any of them, several checks
 * in a row have to fail; a partition may leave open connections alive, so that what arrives there is no proof of contact.
 *
 * <p>Confined to the control thread, except where stated.
 */
public final class IsolationDetector {
    /** Failures of fewer upstreams are no reason for a check, and a router with fewer of them cannot tell its own isolation from their failure. */
    private static final int MIN_UPSTREAMS = 2;
    /** Bounds the connections that a check opens. */
    private static final int SAMPLE = 16;
    /** The number of checks in a row that have to fail while upstreams still answer on open connections. */
    private static final int CHECKS_WHILE_ACTIVE = 3;
    /** The time between checks that fail; an isolated router goes on until an upstream is within reach again. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private final Dependencies dependencies;
    private final List<Consumer<Boolean>> listeners = new CopyOnWriteArrayList<>();
    private boolean checking;
    private int failedChecks;
    private volatile boolean isolated;

    /**
     * Dependencies of a detector. Immutable.
     *
     * @param loop the executor of the control thread
     * @param timers the timer service
     * @param random chooses the sample
     * @param views the listed upstreams
     * @param isUnreachable returns whether an upstream is known to accept no connection
     * @param connects opens a connection to an upstream
     * @param lastActivityNanos returns when anything last arrived from any upstream
     * @param timeline records changes
     */
    public record Dependencies(
            Executor loop,
            TimerService timers,
            Random random,
            TrafficViewSource views,
            Predicate<String> isUnreachable,
            Function<VirtualMachine, Future<Boolean>> connects,
            LongSupplier lastActivityNanos,
            Timeline timeline) {}

    private IsolationDetector(Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /** Creates a detector of a router that is not isolated. */
    public static IsolationDetector create(Dependencies dependencies) {
        return new IsolationDetector(dependencies);
    }

    /** Returns whether all upstreams are out of reach. May be called on any thread. */
    public boolean isIsolated() {
        return isolated;
    }

    /** Adds an action that is called on the control thread with each change. May be called on any thread. */
    public void onChange(Consumer<Boolean> listener) {
        listeners.add(listener);
    }

    /** Called when an upstream was found to accept no connection. May be called on any thread. */
    public void upstreamUnreachable() {
        dependencies.loop().execute(this::checkIfSuspicious);
    }

    private void checkIfSuspicious() {
        long unreachable = upstreams().stream()
                .filter(upstream -> dependencies.isUnreachable().test(upstream.name()))
                .limit(MIN_UPSTREAMS)
                .count();
        if (!checking && unreachable >= MIN_UPSTREAMS) {
            check();
        }
    }

    private List<VirtualMachine> upstreams() {
        return dependencies.views().current().upstreams();
    }

    private void check() {
        checking = true;
        List<VirtualMachine> sample = new ArrayList<>(upstreams());
        if (sample.size() < MIN_UPSTREAMS) {
            conclude(true, false);
            return;
        }
        Collections.shuffle(sample, dependencies.random());
        long begunNanos = dependencies.timers().nanoTime();
        List<Future<Boolean>> connections =
                sample.stream().limit(SAMPLE).map(dependencies.connects()).toList();
        Future.join(connections).onComplete(ignored -> {
            boolean isAnyOpen = connections.stream().anyMatch(each -> each.succeeded() && each.result());
            boolean isActive = dependencies.lastActivityNanos().getAsLong() - begunNanos >= 0;
            dependencies.loop().execute(() -> conclude(isAnyOpen, isActive));
        });
    }

    private void conclude(boolean isAnyOpen, boolean isActive) {
        failedChecks = isAnyOpen ? 0 : failedChecks + 1;
        setIsolated(!isAnyOpen && (isolated || !isActive || failedChecks >= CHECKS_WHILE_ACTIVE));
        checking = !isAnyOpen;
        if (checking) {
            dependencies.timers().after("isolation", CHECK_INTERVAL, this::check);
        }
    }

    private void setIsolated(boolean nowIsolated) {
        if (isolated == nowIsolated) {
            return;
        }
        isolated = nowIsolated;
        dependencies
                .timeline()
                .record(
                        EventType.ISOLATION_CHANGED,
                        EventFields.of(EventField.STATE, isolated ? "isolated" : "connected")
                                .with(EventField.UPSTREAMS, upstreams().size()));
        listeners.forEach(listener -> listener.accept(nowIsolated));
    }
}
