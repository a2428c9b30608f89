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
    private static final int THRESHOLD = CrashCounts.QUARANTINE_THRESHOLD;

    /** A report by one router about one fingerprint. */
    record Report(String fingerprint, String router, int crashes) {}

    @Property(tries = 500, seed = "7601")
    void orderAndRepetitionOfReportsDoNotMatter(
            @ForAll @Size(max = 20) List<@IntRange(max = 26) Integer> codes, @ForAll long seed) {
        List<Report> reports = new ArrayList<>(codes.stream()
                .map(code -> new Report("f" + code % 3, "r" + code / 3 % 3, code / 9 + 1))
                .toList());
        CrashCounts inOrder = merge(reports);
        reports.addAll(reports);
        Collections.shuffle(reports, new Random(seed));
        assertThat(merge(reports), equalTo(inOrder));
    }

    @Property(tries = 300, seed = "7602")
    void crashesOfOneRequestAreBoundedOverTheFleet(
            @ForAll @IntRange(min = 1, max = 6) int routers, @ForAll List<@IntRange(max = 35) Integer> steps) {
        List<CrashCounts> countsByRouter = new ArrayList<>(Collections.nCopies(routers, CrashCounts.empty()));
        int crashes = 0;
        for (int step : steps) {
            int router = step % routers;
            int other = step / 6 % routers;
            if (step < 18 && countsByRouter.get(router).total("f") < THRESHOLD) {
                countsByRouter.set(
                        router, countsByRouter.get(router).withCrash("f", "r" + router, CrashCounts.LOST_UPSTREAM));
                crashes += CrashCounts.LOST_UPSTREAM;
            } else {
                countsByRouter.set(other, merged(countsByRouter.get(other), countsByRouter.get(router)));
            }
        }
        assertThat(crashes, lessThanOrEqualTo(THRESHOLD * routers));
        CrashCounts total = countsByRouter.stream().reduce(CrashCounts.empty(), CrashCountsTest::merged);
        assertThat(total.total("f"), is(crashes));
        assertThat(total.fingerprintsAtLeast(THRESHOLD).contains("f"), is(crashes >= THRESHOLD));
    }

    private static CrashCounts merge(List<Report> reports) {
        CrashCounts counts = CrashCounts.empty();
        for (Report report : reports) {
            counts = counts.withReport(report.fingerprint(), report.router(), report.crashes());
        }
        return counts;
    }

    private static CrashCounts merged(CrashCounts into, CrashCounts from) {
        CrashCounts counts = into;
        for (var entry : from.byRouter("f").entrySet()) {
            counts = counts.withReport("f", entry.getKey(), entry.getValue());
        }
        return counts;
    }
}
