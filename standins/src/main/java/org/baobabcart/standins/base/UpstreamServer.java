package org.baobabcart.standins.base;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import org.baobabcart.model.request.Headers;

/**
 * Base class of the stand-ins for engines and plain services, with the faults that both have. Confined to the event
 * loop.
 */
public abstract class UpstreamServer extends StandInServer {
    /** Response header that states that the upstream rejected the request without starting it. */
    public static final String NOT_RUN = "Baobabcart-Not-Run";

    private static final int CRASH_EXIT_CODE = 134;

    private final List<Runnable> deferredWork = new ArrayList<>();
    private String crashTrigger = "";
    private boolean frozen;
    private boolean failing;
    private boolean leaving;
    private double slowFactor = 1;

    /** Creates a server that is not started. */
    protected UpstreamServer(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        super.applyFaults(faults);
        crashTrigger = FaultValues.text(faults, "crash-on", crashTrigger);
        failing = faults.getBoolean("fail", failing);
        leaving = faults.getBoolean("leave", leaving);
        slowFactor = factor(faults);
        if (faults.containsKey("freeze")) {
            setFrozen(faults.getBoolean("freeze"));
        }
    }

    /**
     * Halts the process without a response if the text contains the one set by the {@code crash-on} fault. First prints
     * the number of started requests, because the log of them is lost with the process.
     */
    protected final void crashIfTriggered(String text) {
        if (!crashTrigger.isEmpty() && text != null && text.contains(crashTrigger)) {
            System.out.println("CRASHED runs=" + runs().size());
            System.out.flush();
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
    }

    /** Rejects the request if this upstream is leaving. Returns whether it was rejected. */
    protected final boolean rejectedAsLeaving(RoutingContext context) {
        if (leaving) {
            rejectNotRun(context, 503, "leaving");
        }
        return leaving;
    }

    /**
     * Rejects a request that was not started. Echoes the ids of the attempt, so that the rejection cannot be mistaken
     * for the response to another attempt.
     */
    protected final void rejectNotRun(RoutingContext context, int status, String error) {
        echoHeader(context, Headers.REQUEST_ID);
        echoHeader(context, Headers.ATTEMPT_ID);
        context.response().putHeader(NOT_RUN, "true");
        respond(context, status, new JsonObject().put("error", error));
    }

    /** Responds whether this upstream accepts new requests. */
    protected final void respondHealth(RoutingContext context) {
        JsonObject state = new JsonObject().put("status", leaving ? "leaving" : "ok");
        runWhenNotFrozen(() -> respond(context, leaving ? 503 : 200, state));
    }

    /** Runs the work now or, while this upstream is frozen, when the freeze ends. */
    protected final void runWhenNotFrozen(Runnable work) {
        if (frozen) {
            deferredWork.add(work);
        } else {
            work.run();
        }
    }

    /** Returns whether requests fail after they were started. */
    protected final boolean failing() {
        return failing;
    }

    /** Returns the factor by which processing is slowed down. */
    protected final double slowFactor() {
        return slowFactor;
    }

    /** Copies a request header to the response. */
    protected final void echoHeader(RoutingContext context, String header) {
        String value = context.request().getHeader(header);
        if (value != null) {
            context.response().putHeader(header, value);
        }
    }

    private double factor(JsonObject faults) {
        double factor = FaultValues.number(faults, "slow", slowFactor);
        return factor > 0 ? factor : 1;
    }

    private void setFrozen(boolean newFrozen) {
        frozen = newFrozen;
        if (!frozen) {
            List<Runnable> work = List.copyOf(deferredWork);
            deferredWork.clear();
            work.forEach(Runnable::run);
        }
    }
}
