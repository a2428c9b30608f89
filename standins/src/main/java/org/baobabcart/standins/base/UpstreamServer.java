package org.baobabcart.standins.base;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import org.baobabcart.model.request.Headers;

/** What stand-ins for engines and plain services share: their faults. Confined to the event loop. */
public abstract class UpstreamServer extends StandInServer {
    /** Sent with a refusal by which an upstream states that it did not begin the work. */
    public static final String NOT_RUN = "Baobabcart-Not-Run";

    private static final int EXIT_CRASH = 134;

    private final List<Runnable> frozenWork = new ArrayList<>();
    private String crashText = "";
    private boolean frozen;
    private boolean failing;
    private boolean leaving;
    private double slowFactor = 1;

    /** A server that has not started yet. */
    protected UpstreamServer(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        super.applyFaults(faults);
        crashText = FaultValues.text(faults, "crash-on", crashText);
        failing = faults.getBoolean("fail", failing);
        leaving = faults.getBoolean("leave", leaving);
        slowFactor = factor(faults);
        if (faults.containsKey("freeze")) {
            setFrozen(faults.getBoolean("freeze"));
        }
    }

    /**
     * Ends the process without an answer if the text holds the text set as a fault. The number of requests that it began
     * is printed first, since the list of runs is lost with the process.
     */
    protected final void crashIfAsked(String text) {
        if (!crashText.isEmpty() && text != null && text.contains(crashText)) {
            System.out.println("CRASHED runs=" + runs().size());
            System.out.flush();
            Runtime.getRuntime().halt(EXIT_CRASH);
        }
    }

    /** Refuses the work if this upstream is leaving; true where it did. */
    protected final boolean refusedAsLeaving(RoutingContext context) {
        if (leaving) {
            refuseNotRun(context, 503, "leaving");
        }
        return leaving;
    }

    /** Refuses work that was not begun, with the ids of the attempt so that the refusal cannot be taken for another's. */
    protected final void refuseNotRun(RoutingContext context, int status, String error) {
        echo(context, Headers.REQUEST_ID);
        echo(context, Headers.ATTEMPT_ID);
        context.response().putHeader(NOT_RUN, "true");
        answer(context, status, new JsonObject().put("error", error));
    }

    /** Answers whether new work is taken. */
    protected final void health(RoutingContext context) {
        JsonObject state = new JsonObject().put("status", leaving ? "leaving" : "ok");
        whenThawed(() -> answer(context, leaving ? 503 : 200, state));
    }

    /** Runs the work now or, while frozen, once that is over. */
    protected final void whenThawed(Runnable work) {
        if (frozen) {
            frozenWork.add(work);
        } else {
            work.run();
        }
    }

    /** Whether work fails after it was begun. */
    protected final boolean failing() {
        return failing;
    }

    /** How much slower than usual this upstream works. */
    protected final double slowFactor() {
        return slowFactor;
    }

    /** Copies a header of the request into the response. */
    protected final void echo(RoutingContext context, String header) {
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
            List<Runnable> work = List.copyOf(frozenWork);
            frozenWork.clear();
            work.forEach(Runnable::run);
        }
    }
}
