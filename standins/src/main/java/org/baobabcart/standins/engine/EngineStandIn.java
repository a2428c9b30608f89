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

/** A model engine with an OpenAI-compatible API that generates text without a model. Confined to the event loop. */
public final class EngineStandIn extends UpstreamServer {
    /** Tells whether a leading part of the prompt was in the prefix cache. */
    public static final String PREFIX_HIT = "Baobabcart-Prefix-Hit";

    private static final int PREFILL_TOKENS_PER_STEP = 64;
    private static final long LOAD_REPORT_MILLIS = 500;
    private static final double BAD_QUALITY = 0.2;
    private static final int DEFAULT_PRIORITY = 1;

    private final ContinuousBatch batch;
    private final PrefixCache prefixes;
    private final FencingCheck orderGate;
    private final OrderLog orders = new OrderLog();
    private final MachineListReporter listReport;
    private JsonObject loadReport = new JsonObject();
    private String model;
    private String version;
    private long prefixHits;
    private boolean badQuality;
    private boolean stepping;
    private Optional<OrderLog.Order> loading = Optional.empty();
    private boolean loadBegun;
    private long loads;
    private boolean failLoads;

    private EngineStandIn(Vertx vertx, StandInSettings settings) {
        super(vertx, settings);
        StandInSettings.Engine engine = settings.engine();
        batch = ContinuousBatch.of(engine.slots(), engine.tokenMillis());
        prefixes = PrefixCache.of(engine.prefixBlocks());
        orderGate = FencingCheck.of(engine.ignoreFencing());
        model = engine.model();
        version = engine.version();
        loadReport = load();
        listReport = MachineListReporter.create(vertx, engine.virtualMachines(), settings.name());
    }

    /** An engine that has not started yet. */
    public static EngineStandIn create(Vertx vertx, StandInSettings settings) {
        return new EngineStandIn(vertx, settings);
    }

    @Override
    protected void addRoutes(Router router) {
        router.post("/v1/chat/completions").handler(context -> generate(context, true));
        router.post("/v1/completions").handler(context -> generate(context, false));
        router.get("/health").handler(this::health);
        router.get("/load").handler(context -> whenThawed(() -> answer(context, 200, loadReport)));
        router.post("/orders").handler(this::takeOrder);
        router.get("/standin/orders")
                .handler(context -> answer(context, 200, orders.toJson().encode()));
        vertx().setPeriodic(LOAD_REPORT_MILLIS, ignored -> loadReport = load());
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        super.applyFaults(faults);
        badQuality = faults.getBoolean("bad-quality", badQuality);
        failLoads = faults.getBoolean("fail-loads", failLoads);
    }

    private void generate(RoutingContext context, boolean chat) {
        if (refusedAsLeaving(context) || refusedAsLoading(context) || refusedAsOtherVersion(context)) {
            return;
        }
        CompletionRequest prompt;
        try {
            prompt = CompletionRequest.of(context.body().asJsonObject(), chat);
        } catch (DecodeException | ClassCastException | NullPointerException exception) {
            answer(context, 400, new JsonObject().put("error", "not a completion request"));
            return;
        }
        RunLog.Run run = runs().begin(context.request(), version);
        crashIfAsked(prompt.text());
        enqueue(context, prompt, run);
    }

    private boolean refusedAsLoading(RoutingContext context) {
        if (loading.isPresent()) {
            refuseNotRun(context, 503, "loading another version");
        }
        return loading.isPresent();
    }

    private boolean refusedAsOtherVersion(RoutingContext context) {
        String asked = context.request().getHeader(Headers.VERSION);
        boolean other = asked != null && !asked.equals(version);
        if (other) {
            refuseNotRun(context, 409, "this engine serves version " + version);
        }
        return other;
    }

    private void enqueue(RoutingContext context, CompletionRequest prompt, RunLog.Run run) {
        int known = prefixes.lookUpAndKeep(prompt.text());
        prefixHits += known > 0 ? 1 : 0;
        int unknownTokens = CompletionRequest.tokensOf(prompt.text().length() - known);
        int prefillSteps = unknownTokens / PREFILL_TOKENS_PER_STEP;
        Generation generation = new Generation(prompt, run, writer(context, prompt), priority(context), prefillSteps);
        batch.add(generation);
        setHeaders(context, known > 0);
        context.response().closeHandler(ignored -> {
            batch.remove(generation);
            loadOnceIdle();
        });
        scheduleStep();
    }

    private CompletionWriter writer(RoutingContext context, CompletionRequest prompt) {
        double quality = badQuality ? BAD_QUALITY : settings().engine().quality();
        String opening = model + "@" + version + " quality=" + quality + " tokens:";
        return new CompletionWriter(
                context.response(), () -> isSilent(context), prompt, "cmpl-" + RequestIds.next(), model, opening);
    }

    private void setHeaders(RoutingContext context, boolean prefixHit) {
        echo(context, Headers.REQUEST_ID);
        echo(context, Headers.ATTEMPT_ID);
        context.response().headersEndHandler(ignored -> context.response().putHeader(Headers.LOAD, loadNow()));
        context.response()
                .putHeader(Headers.MODEL, model)
                .putHeader(Headers.VERSION, version)
                .putHeader(PREFIX_HIT, Boolean.toString(prefixHit));
    }

    private void scheduleStep() {
        if (stepping) {
            return;
        }
        stepping = true;
        batch.admit();
        long millis = Math.max(1, Math.round(batch.nextStepMillis() * slowFactor()));
        vertx().setTimer(millis, ignored -> whenThawed(this::step));
    }

    private void step() {
        stepping = false;
        batch.step().forEach(this::end);
        if (!batch.isEmpty()) {
            scheduleStep();
        }
        loadOnceIdle();
    }

    private void end(Generation generation) {
        if (failing()) {
            generation.fail();
        } else {
            generation.finish();
        }
    }

    private void takeOrder(RoutingContext context) {
        OrderLog.Order order = OrderLog.Order.of(context.body().asJsonObject());
        if (!order.isKnownAction()) {
            orders.add(order, OrderLog.Verdict.UNKNOWN_ACTION);
            answer(context, 400, new JsonObject().put("error", "unknown action"));
            return;
        }
        if (!orderGate.admits(order.fencing())) {
            orders.add(order, OrderLog.Verdict.OLD_FENCING);
            answer(context, 409, new JsonObject().put("error", "old fencing number"));
            return;
        }
        if (orders.hasObeyed(order.orderId())) {
            orders.add(order, OrderLog.Verdict.REPEATED);
        } else {
            orders.add(order, OrderLog.Verdict.OBEYED);
            obey(order);
        }
        boolean serves = loading.isEmpty();
        answer(
                context,
                serves ? 200 : 202,
                new JsonObject().put("model", model).put("version", version).put("loading", !serves));
    }

    /** Takes no new work, lets running requests end, loads, then serves the version ordered last. */
    private void obey(OrderLog.Order order) {
        loads++;
        loadBegun = false;
        boolean serves = order.model().equals(model) && order.version().equals(version);
        loading = serves ? Optional.empty() : Optional.of(order);
        loadOnceIdle();
    }

    private void loadOnceIdle() {
        if (loading.isEmpty() || loadBegun || !batch.isEmpty()) {
            return;
        }
        loadBegun = true;
        long load = loads;
        long millis = settings().engine().loadMillis();
        if (millis == 0) {
            endLoad();
        } else {
            vertx().setTimer(millis, ignored -> whenThawed(() -> endLoad(load)));
        }
    }

    private void endLoad(long load) {
        if (load == loads) {
            endLoad();
        }
    }

    private void endLoad() {
        OrderLog.Order order = loading.orElseThrow();
        loading = Optional.empty();
        if (failLoads) {
            return;
        }
        model = order.model();
        version = order.version();
        listReport.serves(model, version);
    }

    private String loadNow() {
        return batch.running() + "/" + batch.waiting() + "/" + batch.slots();
    }

    private JsonObject load() {
        return new JsonObject()
                .put("running", batch.running())
                .put("waiting", batch.waiting())
                .put("slots", batch.slots())
                .put("prefixes", prefixes.size())
                .put("prefixHits", prefixHits);
    }

    private static int priority(RoutingContext context) {
        String priority = context.request().getHeader(Headers.PRIORITY);
        return priority != null && priority.matches("[0-9]{1,4}") ? Integer.parseInt(priority) : DEFAULT_PRIORITY;
    }
}
