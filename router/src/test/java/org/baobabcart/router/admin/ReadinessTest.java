package org.baobabcart.router.admin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.key.SessionSecrets;
import org.baobabcart.router.testing.TestSheets;
import org.junit.jupiter.api.Test;

class ReadinessTest {
    private final Blackboard blackboard = Blackboard.create();

    @Test
    void readyWithSheetAndSessionKeysUntilAPlannedStop() {
        assertThat(Readiness.notReadyReason(blackboard).orElse(""), containsString("no sheet yet"));
        PublishedSheet sheet = new PublishedSheet(1, "id", "operator", 0, TestSheets.named("morning"));
        blackboard.write(Sections.SHEET, Optional.of(sheet));
        assertThat(Readiness.notReadyReason(blackboard).orElse(""), containsString("no session keys yet"));
        blackboard.write(Sections.SESSION_SECRETS, SessionSecrets.empty().rotated(new SplittableRandom(1)));
        assertThat(Readiness.notReadyReason(blackboard), is(Optional.empty()));
        blackboard.write(Sections.STOPPING, true);
        assertThat(Readiness.notReadyReason(blackboard).orElse(""), containsString("planned stop"));
    }

    @Test
    void rotationKeepsThreeFormerKeysAndToStringHidesSecrets() {
        SessionSecrets secrets = SessionSecrets.empty();
        for (int rotation = 0; rotation < 6; rotation++) {
            SessionSecrets next = secrets.rotated(new SplittableRandom(rotation));
            assertThat(next.generation(), is(secrets.generation() + 1));
            assertThat(
                    next.secrets()
                            .containsAll(secrets.secrets().stream().limit(3).toList()),
                    is(true));
            secrets = next;
        }
        assertThat(secrets.secrets().size(), is(4));
        assertThat(secrets.toString().contains(secrets.secrets().get(0).secret()), is(false));
    }

    @Test
    void formatsMetricsAsPrometheusText() {
        MetricRegistry metrics = new MetricRegistry();
        metrics.meter("requests.refused").mark(3);
        metrics.timer("upstream.time").update(2, TimeUnit.SECONDS);
        String text = PrometheusText.of(metrics);
        assertThat(text, containsString("baobabcart_requests_refused_total 3.0\n"));
        assertThat(text, containsString("baobabcart_upstream_time_seconds{quantile=\"0.5\"} 2.0\n"));
        assertThat(text, containsString("# TYPE baobabcart_upstream_time_seconds summary\n"));
    }
}
