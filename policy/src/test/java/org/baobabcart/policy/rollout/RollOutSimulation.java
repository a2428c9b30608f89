package org.baobabcart.policy.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.baobabcart.model.sheet.RollOutStage;

/**
 * Simulates a fleet of nodes that serve one roll-out, in steps of one second. Every node counts its own outcomes and
 * sends its table to two random nodes per second. The first node judges, so that evidence reaches it with a delay.
 */
final class RollOutSimulation {
    static final List<RollOutStage> STAGES = List.of(
            new RollOutStage(0.1, 30, 50),
            new RollOutStage(0.25, 10, 100),
            new RollOutStage(0.5, 10, 100),
            new RollOutStage(1, 10, 100));

    private static final int NODES = 5;
    private static final int REQUESTS_PER_SECOND = 50;
    private static final int PEERS = 2;
    private static final long SECOND_NANOS = 1_000_000_000;

    private final RollOutJudge judge = RollOutJudge.of(RollOutSettings.defaults());
    private final Behaviour behaviour;
    private final SplittableRandom random;
    private final SplittableRandom latencies;
    private final List<EvidenceTable> tables = new ArrayList<>();
    private int stage;
    private EvidenceWindows windows = EvidenceWindows.initial();
    private int stageSeconds;
    private int badExposures;
    private int exposures;

    RollOutSimulation(Behaviour behaviour, long seed) {
        this.behaviour = behaviour;
        this.random = new SplittableRandom(seed);
        this.latencies = new SplittableRandom(~seed);
        for (int node = 0; node < NODES; node++) {
            tables.add(EvidenceTable.empty());
        }
    }

    /** The failure rates and ratings of the versions over time, and when the new version is bad. */
    interface Behaviour {
        double failures(boolean newVersion, int second, int stage);

        double rating(boolean newVersion, int second);

        /** Returns the mean latency loss of answers. */
        default double latencyLoss(boolean newVersion, int second, int stage) {
            return 0.1;
        }

        /** Returns whether the new version is bad in this second. */
        default boolean isBad(int second) {
            return false;
        }

        /** Returns whether answers are rated in this second. */
        default boolean isRated(int second) {
            return true;
        }
    }

    /** The end of a simulated roll-out. */
    record Result(Optional<String> stopReason, int stage, int seconds, int exposures, int badExposures) {}

    Result run(int maximumSeconds) {
        for (int second = 0; second < maximumSeconds; second++) {
            serve(second);
            gossip();
            RollOutVerdict verdict = judgeStage();
            if (verdict.kind() == RollOutVerdict.Kind.STOP) {
                return new Result(Optional.of(verdict.reason()), stage, second, exposures, badExposures);
            }
            if (verdict.kind() == RollOutVerdict.Kind.ADVANCE) {
                if (stage == STAGES.size() - 1) {
                    return new Result(Optional.empty(), stage, second, exposures, badExposures);
                }
                stage++;
                windows = EvidenceWindows.initial();
                stageSeconds = 0;
            }
        }
        return new Result(Optional.empty(), stage, maximumSeconds, exposures, badExposures);
    }

    private void serve(int second) {
        for (int request = 0; request < REQUESTS_PER_SECOND; request++) {
            boolean newVersion = random.nextDouble() < STAGES.get(stage).share();
            exposures += newVersion ? 1 : 0;
            badExposures += newVersion && behaviour.isBad(second) ? 1 : 0;
            count(random.nextInt(NODES), newVersion, second);
        }
        stageSeconds++;
    }

    private void count(int node, boolean newVersion, int second) {
        String version = newVersion ? "new" : "old";
        boolean success = random.nextDouble() >= behaviour.failures(newVersion, second, stage);
        VersionTotals totals = tables.get(node)
                .nodeTotals("model", version, "node-" + node, stage)
                .withOutcome(success);
        if (success && behaviour.isRated(second)) {
            double rating = behaviour.rating(newVersion, second) + 0.1 * random.nextDouble() - 0.05;
            totals = totals.withRating(Math.max(0, Math.min(1, rating)));
        }
        if (success) {
            double loss = behaviour.latencyLoss(newVersion, second, stage) * 2 * latencies.nextDouble();
            totals = totals.withLatencyLoss(Math.min(1, loss));
        }
        tables.set(node, tables.get(node).merged(new EvidenceEntry("model", version, "node-" + node, stage, totals)));
    }

    private void gossip() {
        for (int node = 0; node < NODES; node++) {
            for (int peer = 0; peer < PEERS; peer++) {
                int target = random.nextInt(NODES);
                for (EvidenceEntry entry : tables.get(node).entries()) {
                    tables.set(target, tables.get(target).merged(entry));
                }
            }
        }
    }

    private RollOutVerdict judgeStage() {
        VersionTotals newTotals = tables.get(0).pooled("model", "new", stage);
        VersionTotals oldTotals = tables.get(0).pooled("model", "old", stage);
        windows = windows.updated(newTotals, oldTotals);
        StageEvidence evidence = new StageEvidence(stage, STAGES.get(stage).share(), newTotals, oldTotals, windows);
        return judge.judge(STAGES.get(stage), evidence, stageSeconds * SECOND_NANOS);
    }
}
