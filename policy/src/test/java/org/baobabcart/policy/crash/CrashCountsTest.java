package org.baobabcart.policy.crash;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class CrashCountsTest {
    private static final int BOUND = CrashCounts.BOUND;

    /** What one router reports of one fingerprint. */
    record Report(String fingerprint, String router, int crashes) {}

    @Property(tries = 500, seed = "7601")
    void reportsMayComeInAnyOrderAndTwice(
            @ForAll @Size(max = 20) List<@IntRange(max = 26) Integer> codes, @ForAll long seed) {
        List<Report> reports = new ArrayList<>(codes.stream()
                .map(code -> new Report("f" + code % 3, "r" + code / 3 % 3, code / 9 + 1))
                .toList());
        CrashCounts inOrder = all(reports);
        reports.addAll(reports);
        Collections.shuffle(reports, new Random(seed));
        assertThat(all(reports), equalTo(inOrder));
    }

    @Property(tries = 300, seed = "7602")
    void crashesOfOneRequestStayBoundedOverTheFleetWhateverTheReportsDo(
            @ForAll @IntRange(min = 1, max = 6) int routers, @ForAll List<@IntRange(max = 35) Integer> steps) {
        List<CrashCounts> seen = new ArrayList<>(Collections.nCopies(routers, CrashCounts.empty()));
        int crashes = 0;
        for (int step : steps) {
            int router = step % routers;
            int other = step / 6 % routers;
            if (step < 18 && seen.get(router).total("f") < BOUND) {
                seen.set(router, seen.get(router).withCrash("f", "r" + router, CrashCounts.LOST_UPSTREAM));
                crashes += CrashCounts.LOST_UPSTREAM;
            } else {
                seen.set(other, merged(seen.get(other), seen.get(router)));
            }
        }
        assertThat(crashes, lessThanOrEqualTo(BOUND * routers));
        CrashCounts everything = seen.stream().reduce(CrashCounts.empty(), CrashCountsTest::merged);
        assertThat(everything.total("f"), is(crashes));
        assertThat(everything.atLeast(BOUND).contains("f"), is(crashes >= BOUND));
    }

    private static CrashCounts all(List<Report> reports) {
        CrashCounts counts = CrashCounts.empty();
        for (Report report : reports) {
            counts = counts.withReport(report.fingerprint(), report.router(), report.crashes());
        }
        return counts;
    }

    private static CrashCounts merged(CrashCounts into, CrashCounts from) {
        CrashCounts counts = into;
        for (var entry : from.of("f").entrySet()) {
            counts = counts.withReport("f", entry.getKey(), entry.getValue());
        }
        return counts;
    }
}
