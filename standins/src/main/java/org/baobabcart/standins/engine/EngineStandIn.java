package org.baobabcart.standins.engine;

import io.vertx.core.Vertx;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.standins.base.RunLog;
import org.baobabcart.standins.base.StandInSettings;
import org.baobabcart.standins.base.UpstreamServer;

/**
 * Model engine stand-in with an OpenAI-compatible API that generates text without a model. Confined to the event loop.
 */
public final class EngineStandIn extends UpstreamServer {
    /** Response header that states whether a leading part of the prompt was in the prefix cache. */
    public static final String PREFIX_HIT = "Baobabcart-Prefix-Hit";

    private static final int PREFILL_TOKENS_PER_STEP = 64;
    private static final long LOAD_REPORT_INTERVAL_MILLIS = 500;
    private static final double BAD_QUALITY = 0.2;
    private static final int DEFAULT_PRIORITY = 1;

    private final ContinuousBatch batch;
    private final PrefixCache prefixCache;
    private final FencingCheck fencingCheck;
    private final OrderLog orders = new OrderLog();
    private final MachineListReporter machineListReporter;
    private JsonObject loadReport = new JsonObject();
    private String model;
    private String version;
    private long prefixHits;
    private boolean badQuality;
    private boolean stepScheduled;
    private Optional<OrderLog.Order> loading = Optional.empty();
    private boolean loadStarted;
    private long loadCount;
    private boolean loadsFail;

    private EngineStandIn(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
        StandInSettings.Engine engine = settings.engine();
        batch = ContinuousBatch.of(engine.slots(), engine.tokenMillis());
        prefixCache = PrefixCache.of(engine.prefixBlocks());
        fencingCheck = FencingCheck.of(engine.ignoreFencing());
        model = engine.model();
        version = engine.version();
        loadReport = currentLoad();
        machineListReporter = MachineListReporter.create(vertx, engine.virtualMachines(), settings.name());
    }

    /** Creates an engine that is not started. */
    public static EngineStandIn create(Vertx vertx, StandInSettings settings) {
        return new EngineStandIn(vertx, settings);
    }

    @Override
    protected void addRoutes(Router router) {
        router.post("/v1/chat/completions").handler(context -> generate(context, true));
        router.post("/v1/completions").handler(context -> generate(context, false));
        router.get("/health").handler(this::respondHealth);
        router.get("/load").handler(context -> runWhenNotFrozen(() -> respond(context, 200, loadReport)));
        router.post("/orders").handler(this::receiveOrder);
        router.get("/standin/orders")
                .handler(context -> respond(context, 200, orders.toJson().encode()));
        vertx().setPeriodic(LOAD_REPORT_INTERVAL_MILLIS, ignored -> loadReport = currentLoad());
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        super.applyFaults(faults);
        badQuality = faults.getBoolean("bad-quality", badQuality);
        loadsFail = faults.getBoolean("fail-loads", loadsFail);
    }

    private void generate(RoutingContext context, boolean chat) {
        if (rejectedAsLeaving(context) || rejectedAsLoading(context) || rejectedAsOtherVersion(context)) {
            return;
        }
        CompletionRequest request;
        try {
            request = CompletionRequest.of(context.body().asJsonObject(), chat);
        } catch (DecodeException | ClassCastException | NullPointerException exception) {
            respond(context, 400, new JsonObject().put("error", "not a completion request"));
            return;
        }
        RunLog.Run run = runs().begin(context.request(), version);
        crashIfTriggered(request.text());
        enqueue(context, request, run);
    }

    private boolean rejectedAsLoading(RoutingContext context) {
        if (loading.isPresent()) {
            rejectNotRun(context, 503, "loading another version");
        }
        return loading.isPresent();
    }

    private boolean rejectedAsOtherVersion(RoutingContext context) {
        String requestedVersion = context.request().getHeader(Headers.VERSION);
        boolean differs = requestedVersion != null && !requestedVersion.equals(version);
        if (differs) {
            rejectNotRun(context, 409, "this engine serves version " + version);
        }
        return differs;
    }

    private void enqueue(RoutingContext context, CompletionRequest request, RunLog.Run run) {
        int cachedCharacters = prefixCache.lookUpAndStore(request.text());
        prefixHits += cachedCharacters > 0 ? 1 : 0;
        int uncachedTokens = CompletionRequest.tokenCount(request.text().length() - cachedCharacters);
        int prefillSteps = uncachedTokens / PREFILL_TOKENS_PER_STEP;
        Generation generation = new Generation(request, run, writer(context, request), priority(context), prefillSteps);
        batch.add(generation);
        setHeaders(context, cachedCharacters > 0);
        context.response().closeHandler(ignored -> {
            batch.remove(generation);
            startLoadIfIdle();
        });
        scheduleStep();
    }

    private CompletionWriter writer(RoutingContext context, CompletionRequest request) {
        double quality = badQuality ? BAD_QUALITY : settings().engine().quality();
        String textPrefix = model + "@" + version + " quality=" + quality + " tokens:";
        return new CompletionWriter(
                context.response(), () -> isSilent(context), request, "cmpl-" + RequestIds.next(), model, textPrefix);
    }

    private void setHeaders(RoutingContext context, boolean prefixHit) {
        echoHeader(context, Headers.REQUEST_ID);
        echoHeader(context, Headers.ATTEMPT_ID);
        context.response().headersEndHandler(ignored -> context.response().putHeader(Headers.LOAD, loadHeader()));
        context.response()
                .putHeader(Headers.MODEL, model)
                .putHeader(Headers.VERSION, version)
                .putHeader(PREFIX_HIT, Boolean.toString(prefixHit));
    }

    private void scheduleStep() {
        if (stepScheduled) {
            return;
        }
        stepScheduled = true;
        batch.admit();
        long millis = Math.max(1, Math.round(batch.nextStepMillis() * slowFactor()));
        vertx().setTimer(millis, ignored -> runWhenNotFrozen(this::step));
    }

    private void step() {
        stepScheduled = false;
        batch.step().forEach(this::end);
        if (!batch.isEmpty()) {
            scheduleStep();
        }
        startLoadIfIdle();
    }

    private void end(Generation generation) {
        if (failing()) {
            generation.fail();
        } else {
            generation.finish();
        }
    }

    private void receiveOrder(RoutingContext context) {
        OrderLog.Order order = OrderLog.Order.of(context.body().asJsonObject());
        if (!order.isKnownAction()) {
            orders.add(order, OrderLog.Verdict.UNKNOWN_ACTION);
            respond(context, 400, new JsonObject().put("error", "unknown action"));
            return;
        }
        if (!fencingCheck.accepts(order.fencing())) {
            orders.add(order, OrderLog.Verdict.OLD_FENCING);
            respond(context, 409, new JsonObject().put("error", "old fencing number"));
            return;
        }
        if (orders.wasExecuted(order.orderId())) {
            orders.add(order, OrderLog.Verdict.REPEATED);
        } else {
            orders.add(order, OrderLog.Verdict.OBEYED);
            execute(order);
        }
        boolean serving = loading.isEmpty();
        respond(
                context,
                serving ? 200 : 202,
                new JsonObject().put("model", model).put("version", version).put("loading", !serving));
    }

    /**
     * Loads the ordered version once the running requests have ended. New requests are rejected until it is loaded. A
     * later order replaces an earlier one.
     */
    private void execute(OrderLog.Order order) {
        loadCount++;
        loadStarted = false;
        boolean alreadyServed = order.model().equals(model) && order.version().equals(version);
        loading = alreadyServed ? Optional.empty() : Optional.of(order);
        startLoadIfIdle();
    }

    private void startLoadIfIdle() {
        if (loading.isEmpty() || loadStarted || !batch.isEmpty()) {
            return;
        }
        loadStarted = true;
        long loadNumber = loadCount;
        long millis = settings().engine().loadMillis();
        if (millis == 0) {
            finishLoad();
        } else {
            vertx().setTimer(millis, ignored -> runWhenNotFrozen(() -> finishLoad(loadNumber)));
        }
    }

    private void finishLoad(long loadNumber) {
        if (loadNumber == loadCount) {
            finishLoad();
        }
    }

    private void finishLoad() {
        OrderLog.Order order = loading.orElseThrow();
        loading = Optional.empty();
        if (loadsFail) {
            return;
        }
        model = order.model();
        version = order.version();
        machineListReporter.reportServedVersion(model, version);
    }

    private String loadHeader() {
        return batch.running() + "/" + batch.waiting() + "/" + batch.slots();
    }

    private JsonObject currentLoad() {
        return new JsonObject()
                .put("running", batch.running())
                .put("waiting", batch.waiting())
                .put("slots", batch.slots())
                .put("prefixes", prefixCache.size())
                .put("prefixHits", prefixHits);
    }

    private static int priority(RoutingContext context) {
        String priority = context.request().getHeader(Headers.PRIORITY);
        return priority != null && priority.matches("[0-9]{1,4}") ? Integer.parseInt(priority) : DEFAULT_PRIORITY;
    }
}
