package org.baobabcart.policy.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.Model;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.model.sheet.RollOutStage;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Version;
import org.baobabcart.model.sheet.Withdrawal;
import org.baobabcart.model.sheet.Workspace;

class VersionPolicyTest {
    private static final String MODEL = "m";
    private static final int VERSIONS = 4;

    /** A sheet, a state of roll-outs and a workspace. */
    record Scenario(Sheet sheet, RollOutState rollOuts, Workspace workspace) {
        VersionPolicy policy() {
            return VersionPolicy.of(sheet, rollOuts);
        }

        Model model() {
            return sheet.model(MODEL).orElseThrow();
        }
    }

    @Property(tries = 3000, seed = "7101")
    void chosenVersionIsAllowedServedAndNotWithdrawn(
            @ForAll("scenarios") Scenario scenario, @ForAll("uniform") double uniform, @ForAll int served) {
        Optional<String> chosen = scenario.policy()
                .choose(scenario.model(), scenario.workspace(), version -> isServed(served, version), uniform);
        chosen.ifPresent(version -> {
            assertThat(scenario.policy().isWithdrawn(MODEL, version), is(false));
            assertThat(scenario.workspace().allows(MODEL, version), is(true));
            assertThat(isServed(served, version), is(true));
        });
    }

    @Property(tries = 1000, seed = "7102")
    void namedSessionKeepsVersionWhenSharesAndRollOutsChange(
            @ForAll("scenarios") Scenario before, @ForAll("scenarios") Scenario other) {
        RollOutState otherProgress = new RollOutState(
                9, "", other.rollOuts().progress(), before.rollOuts().withdrawals());
        Sheet otherShares = withShares(before.sheet(), other.model());
        VersionPolicy after = VersionPolicy.of(otherShares, otherProgress);
        assertThat(
                after.versionForNamedSession(otherShares.model(MODEL).orElseThrow(), before.workspace()),
                equalTo(before.policy().versionForNamedSession(before.model(), before.workspace())));
    }

    @Property(tries = 1000, seed = "7103")
    void namedSessionChangesVersionOnlyOnWithdrawal(
            @ForAll("scenarios") Scenario scenario, @ForAll("versionNames") String withdrawn) {
        Optional<String> before = scenario.policy().versionForNamedSession(scenario.model(), scenario.workspace());
        Sheet changed = scenario.sheet().withWithdrawal(new Withdrawal(MODEL, withdrawn));
        Optional<String> after = VersionPolicy.of(changed, scenario.rollOuts())
                .versionForNamedSession(scenario.model(), scenario.workspace());
        if (!before.equals(Optional.of(withdrawn))) {
            assertThat(after, equalTo(before));
        } else {
            assertThat(after, not(equalTo(before)));
        }
    }

    @Example
    void newVersionGetsShareOfStage() {
        Scenario scenario = scenario(List.of(10, 0, 0, 0), Optional.of(RollOutStatus.RUNNING), 0, List.of(), List.of());
        assertThat(shareOf(scenario, "v1"), closeTo(0.25, 0.01));
        assertThat(shareOf(scenario, "v0"), closeTo(0.75, 0.01));
        Scenario stopped = scenario(List.of(10, 0, 0, 0), Optional.of(RollOutStatus.STOPPED), 0, List.of(), List.of());
        assertThat(shareOf(stopped, "v1"), closeTo(0, 0));
        Scenario done = scenario(List.of(10, 0, 0, 0), Optional.of(RollOutStatus.DONE), 0, List.of(), List.of());
        assertThat(shareOf(done, "v1"), closeTo(1, 0));
    }

    @Example
    void oldVersionReplacesNewOneWithdrawnAfterRollOut() {
        Scenario scenario = scenario(
                List.of(10, 0, 0, 0),
                Optional.of(RollOutStatus.DONE),
                0,
                List.of(new Withdrawal(MODEL, "v1")),
                List.of());
        assertThat(shareOf(scenario, "v0"), closeTo(1, 0));
    }

    @Example
    void inactiveTargetIsNotChosenWhenOthersHaveNoUpstream() {
        Scenario scenario = scenario(List.of(10, 0, 0, 0), Optional.empty(), 0, List.of(), List.of());
        Optional<String> chosen =
                scenario.policy().choose(scenario.model(), scenario.workspace(), version -> version.equals("v1"), 0.5);
        assertThat(chosen, equalTo(Optional.empty()));
    }

    @Provide
    Arbitrary<Double> uniform() {
        return Arbitraries.doubles().between(0, true, 1, false);
    }

    @Provide
    Arbitrary<String> versionNames() {
        return Arbitraries.integers().between(0, VERSIONS - 1).map(index -> "v" + index);
    }

    @Provide
    Arbitrary<Scenario> scenarios() {
        Arbitrary<List<Integer>> shares =
                Arbitraries.integers().between(0, 3).list().ofSize(VERSIONS);
        Arbitrary<Optional<RollOutStatus>> status =
                Arbitraries.of(RollOutStatus.class).optional();
        Arbitrary<List<Withdrawal>> withdrawals = versionNames()
                .map(version -> new Withdrawal(MODEL, version))
                .list()
                .uniqueElements()
                .ofMaxSize(VERSIONS);
        Arbitrary<List<String>> allowed = versionNames().list().uniqueElements().ofMaxSize(VERSIONS);
        return Combinators.combine(shares, status, Arbitraries.integers().between(0, 1), withdrawals, allowed)
                .as(VersionPolicyTest::scenario);
    }

    private static boolean isServed(int mask, String version) {
        return (mask >> Integer.parseInt(version.substring(1)) & 1) == 1;
    }

    private static double shareOf(Scenario scenario, String version) {
        int samples = 1000;
        long hits = IntStream.range(0, samples)
                .mapToObj(index -> scenario.policy()
                        .choose(scenario.model(), scenario.workspace(), any -> true, (double) index / samples))
                .filter(Optional.of(version)::equals)
                .count();
        return (double) hits / samples;
    }

    private static Sheet withShares(Sheet sheet, Model model) {
        return sheet.withModels(List.of(model));
    }

    private static Scenario scenario(
            List<Integer> shares,
            Optional<RollOutStatus> status,
            int stage,
            List<Withdrawal> withdrawals,
            List<String> allowed) {
        double total = Math.max(1, shares.stream().mapToInt(Integer::intValue).sum());
        List<Version> versions = new ArrayList<>();
        for (int index = 0; index < shares.size(); index++) {
            versions.add(new Version("v" + index, 1, 0.9, shares.get(index) / total));
        }
        List<String> models = allowed.isEmpty()
                ? List.of(MODEL)
                : allowed.stream().map(version -> MODEL + "@" + version).toList();
        Workspace workspace = new Workspace("w", List.of(), models, List.of(), 1);
        List<RollOutStage> stages = List.of(new RollOutStage(0.25, 0, 0), new RollOutStage(0.5, 0, 0));
        RollOut rollOut = new RollOut(MODEL, "v0", "v1", stages, null);
        List<Withdrawal> bySheet = withdrawals.stream().limit(1).toList();
        List<Withdrawal> byState = withdrawals.stream().skip(1).toList();
        Sheet sheet = new Sheet(
                "s",
                "r",
                List.of(),
                List.of(new Model(MODEL, versions)),
                List.of(),
                List.of(workspace),
                List.of(),
                List.of(rollOut),
                bySheet,
                List.of());
        List<RollOutProgress> progress = status.map(known -> new RollOutProgress(MODEL, "v1", known, stage, ""))
                .map(List::of)
                .orElse(List.of());
        return new Scenario(sheet, new RollOutState(1, "", progress, byState), workspace);
    }
}
