package org.baobabcart.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PlacementPolicyTest {
    private static final ModelVersion V1 = ModelVersion.of("a", "v1");
    private static final ModelVersion V2 = ModelVersion.of("a", "v2");
    private static final ModelVersion OTHER = ModelVersion.of("other", "v1");
    private static final PlacementSettings SETTINGS = PlacementSimulation.SETTINGS;

    private final PlacementPolicy policy = PlacementPolicy.of(SETTINGS);

    @Test
    void movesOnlyMissingEnginesAndIgnoresModelsWithoutPlacements() {
        PlacementPlan plan = planAfterSettleTime(desired(Map.of(V2, 1), Set.of()), engines(OTHER, V1, V1, V1));
        assertThat(plan.moves(), contains(new PlacementPlan.Move("engine-1", V2)));
        assertThat(plan.shortfalls(), empty());
    }

    @Test
    void surplusEnginesCauseNoMoves() {
        assertThat(
                planAfterSettleTime(desired(Map.of(V1, 1), Set.of()), engines(V1, V1, V1)),
                equalTo(PlacementPlan.empty()));
    }

    @Test
    void noLoadIsOrderedBeforeTheSettleTime() {
        DesiredPlacements desired = desired(Map.of(V2, 1), Set.of());
        List<EngineListing> engines = engines(V1, V1);
        PlacementState state = policy.observe(PlacementState.empty(), desired, engines, 0);
        long early = SETTINGS.settleTime().toNanos() - 1;
        assertThat(policy.plan(state, desired, engines, early).moves(), empty());
        assertThat(
                policy.plan(state, desired, engines, early).shortfalls(),
                contains(new Shortfall(V2, 1, Shortfall.Reason.SETTLING)));
    }

    @Test
    void withdrawnVersionIsNotLoadedAndItsLastEngineMayMove() {
        PlacementPlan plan = planAfterSettleTime(desired(Map.of(V1, 2, V2, 1), Set.of(V1)), engines(V1, OTHER));
        assertThat(plan.moves(), contains(new PlacementPlan.Move("engine-0", V2)));
        assertThat(plan.shortfalls(), contains(new Shortfall(V1, 2, Shortfall.Reason.WITHDRAWN)));
    }

    @Test
    void shortfallsAreReportedWithTheirReason() {
        assertThat(
                planAfterSettleTime(desired(Map.of(V2, 1), Set.of()), engines(V1))
                        .shortfalls(),
                contains(new Shortfall(V2, 1, Shortfall.Reason.LAST_OF_ITS_VERSION)));
        assertThat(
                planAfterSettleTime(desired(Map.of(V2, 3), Set.of()), engines(OTHER, V2))
                        .shortfalls(),
                contains(new Shortfall(V2, 2, Shortfall.Reason.NO_SPARE_ENGINE)));
        PlacementPlan limited = planAfterSettleTime(desired(Map.of(V2, 4), Set.of()), engines(V1, V1, V1, V1, V1));
        assertThat(limited.moves().size(), equalTo(SETTINGS.maximumLoads()));
        assertThat(limited.shortfalls(), contains(new Shortfall(V2, 2, Shortfall.Reason.LOADS_LIMITED)));
    }

    @Test
    void backOffDoublesAfterFailedLoadsAndOtherEnginesAreTriedFirst() {
        DesiredPlacements desired = desired(Map.of(V2, 1), Set.of());
        List<EngineListing> engines = engines(V1, V1, V1, V1);
        PlacementState state = PlacementState.empty();
        List<Long> pauses = new ArrayList<>();
        List<String> tried = new ArrayList<>();
        long failedAt = 0;
        long second = 0;
        while (tried.size() < 6) {
            long now = Duration.ofSeconds(second).toNanos();
            state = policy.observe(state, desired, engines, now);
            for (PlacementPlan.Move move :
                    policy.plan(state, desired, engines, now).moves()) {
                LoadOrder order = new LoadOrder("order-" + second, move.engine(), move.target());
                pauses.add(second - failedAt);
                tried.add(move.engine());
                failedAt = second;
                state = state.with(order, now).failed(order, now);
            }
            second++;
        }
        assertThat(pauses, contains(3L, 5L, 10L, 20L, 40L, 40L));
        assertThat(tried.subList(0, 3), containsInAnyOrder("engine-0", "engine-1", "engine-2"));
        assertThat("the last engine that is not in doubt", tried, not(hasItem("engine-3")));
    }

    @Test
    void newLeaseHolderTakesOverOrdersInFlight() {
        DesiredPlacements desired = desired(Map.of(V2, 1), Set.of());
        LoadOrder order = new LoadOrder("order-1", "engine-1", V2);
        PlacementState state = PlacementState.takenOver(List.of(order), Map.of(), 0);
        List<EngineListing> engines = engines(V1, V1, V1);
        long later = SETTINGS.settleTime().toNanos();
        state = policy.observe(state, desired, engines, later);
        assertThat(policy.plan(state, desired, engines, later), equalTo(PlacementPlan.empty()));
        assertThat(state.orders(), contains(order));
    }

    private PlacementPlan planAfterSettleTime(DesiredPlacements desired, List<EngineListing> engines) {
        PlacementState state = policy.observe(PlacementState.empty(), desired, engines, 0);
        return policy.plan(state, desired, engines, SETTINGS.settleTime().toNanos());
    }

    private static DesiredPlacements desired(Map<ModelVersion, Integer> counts, Set<ModelVersion> withdrawn) {
        return new DesiredPlacements(new LinkedHashMap<>(counts), withdrawn);
    }

    private static List<EngineListing> engines(ModelVersion... served) {
        List<EngineListing> engines = new ArrayList<>();
        for (ModelVersion version : served) {
            engines.add(new EngineListing("engine-" + engines.size(), version));
        }
        return engines;
    }
}
