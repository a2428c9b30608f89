package org.baobabcart.policy.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

class UpstreamPolicyTest {
    private static final UpstreamPolicy POLICY = UpstreamPolicy.of("router-1", 5);

    @Property(tries = 1000, seed = "7401")
    void chosenUpstreamHasCapacityAndIsLocalIfPossible(
            @ForAll("candidates") List<UpstreamCandidate> candidates, @ForAll long seed, @ForAll boolean affine) {
        Optional<UpstreamCandidate> chosen =
                POLICY.choose(candidates, affine ? "prefix" : "", new Random(seed)::nextDouble);
        boolean anyCapacity = candidates.stream().anyMatch(UpstreamCandidate::hasCapacity);
        boolean localCapacity = candidates.stream().anyMatch(candidate -> candidate.local() && candidate.hasCapacity());
        assertThat(chosen.isPresent(), is(anyCapacity));
        chosen.ifPresent(candidate -> {
            assertThat(candidate.hasCapacity(), is(true));
            assertThat(candidate.local(), is(localCapacity));
        });
    }

    @Property(tries = 300, seed = "7402")
    void lossOfAnUpstreamReplacesOnlyThatOneInTheSubset(@ForAll @IntRange(min = 6, max = 40) int size) {
        List<String> all =
                IntStream.range(0, size).mapToObj(index -> "e" + index).toList();
        List<String> subset = POLICY.subset(all);
        assertThat(subset.size(), is(5));
        List<String> remaining = new ArrayList<>(all);
        remaining.remove(subset.get(0));
        Set<String> kept = new HashSet<>(POLICY.subset(remaining));
        kept.retainAll(subset);
        assertThat(kept.size(), is(4));
    }

    @Example
    void requestsWithACommonPrefixStayTogetherWithinTheLoadBound() {
        List<Integer> loads = new ArrayList<>(List.of(0, 0, 0, 0));
        for (int index = 0; index < 100; index++) {
            List<UpstreamCandidate> candidates = candidatesOf(loads);
            UpstreamCandidate chosen =
                    POLICY.choose(candidates, "prefix", () -> 0.5).orElseThrow();
            int position = Integer.parseInt(chosen.name().substring(1));
            loads.set(position, loads.get(position) + 1);
            double average = (index + 1) / 4.0;
            assertThat((double) loads.get(position), lessThanOrEqualTo(Math.ceil(1.25 * average)));
        }
        List<UpstreamCandidate> idle = candidatesOf(List.of(0, 0, 0, 0));
        String first = POLICY.choose(idle, "prefix", () -> 0.1).orElseThrow().name();
        assertThat(POLICY.choose(idle, "prefix", () -> 0.9).orElseThrow().name(), equalTo(first));
    }

    @Example
    void twoRandomChoicesBalanceBetterThanOne() {
        Random random = new Random(74);
        int[] two = new int[50];
        int[] one = new int[50];
        for (int index = 0; index < 5000; index++) {
            List<Integer> loads = IntStream.of(two).boxed().toList();
            String name = POLICY.choose(candidatesOf(loads), "", random::nextDouble)
                    .orElseThrow()
                    .name();
            two[Integer.parseInt(name.substring(1))]++;
            one[random.nextInt(50)]++;
        }
        assertThat(
                IntStream.of(two).max().orElseThrow(),
                lessThan(IntStream.of(one).max().orElseThrow()));
        assertThat(IntStream.of(two).max().orElseThrow(), lessThanOrEqualTo(104));
    }

    @Property(tries = 300, seed = "7403")
    void limitStaysWithinBoundsAndDecreasesUnderCongestion(@ForAll List<@IntRange(max = 3) Integer> events) {
        ConcurrencyLimit limit = ConcurrencyLimit.initial();
        for (int event : events) {
            limit = switch (event) {
                case 0 -> limit.withReport(new LoadReport(8, 0, 8), limit.maximumInFlight());
                case 1 -> limit.withReport(new LoadReport(8, 5, 8), limit.maximumInFlight());
                case 2 -> limit.withLatency(1_000_000, limit.maximumInFlight());
                default -> limit.withFailure();
            };
            assertThat(limit.maximumInFlight(), greaterThanOrEqualTo(1));
            assertThat(limit.maximumInFlight(), lessThanOrEqualTo(1024));
        }
        for (int index = 0; index < 20_000; index++) {
            limit = limit.withReport(new LoadReport(8, 5, 8), limit.maximumInFlight());
        }
        assertThat(limit.maximumInFlight(), is(1));
    }

    @Example
    void limitConvergesToTheSlotsOfTheUpstream() {
        ConcurrencyLimit limit = ConcurrencyLimit.initial();
        int slots = 8;
        for (int index = 0; index < 5000; index++) {
            int inFlight = limit.maximumInFlight();
            LoadReport report = new LoadReport(Math.min(slots, inFlight), Math.max(0, inFlight - slots), slots);
            limit = limit.withReport(report, inFlight);
        }
        assertThat(limit.maximumInFlight(), greaterThanOrEqualTo(6));
        assertThat(limit.maximumInFlight(), lessThanOrEqualTo(9));
    }

    @Property(tries = 500, seed = "7404")
    void parsesOnlyValidReports(@ForAll String text) {
        LoadReport.parse(text).ifPresent(report -> assertThat(report.slots(), greaterThanOrEqualTo(1)));
    }

    @Provide
    Arbitrary<List<UpstreamCandidate>> candidates() {
        Arbitrary<Optional<LoadReport>> reports = Arbitraries.integers()
                .between(0, 20)
                .map(waiting -> new LoadReport(8, waiting, 8))
                .optional();
        Arbitrary<UpstreamCandidate> candidate = Combinators.combine(
                        Arbitraries.integers().between(0, 100_000),
                        Arbitraries.of(true, false),
                        Arbitraries.integers().between(0, 6),
                        Arbitraries.integers().between(1, 6),
                        reports,
                        Arbitraries.longs().between(0, 5_000_000_000L))
                .as((name, local, inFlight, limit, report, age) ->
                        new UpstreamCandidate("e" + name, local, inFlight, limit, report, age, 0));
        return candidate.list().uniqueElements(UpstreamCandidate::name).ofMaxSize(8);
    }

    private static List<UpstreamCandidate> candidatesOf(List<Integer> loads) {
        return IntStream.range(0, loads.size())
                .mapToObj(index ->
                        new UpstreamCandidate("e" + index, true, loads.get(index), 10_000, Optional.empty(), 0, 0))
                .toList();
    }
}
