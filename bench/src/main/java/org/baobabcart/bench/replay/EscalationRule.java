package org.baobabcart.bench.replay;

import org.baobabcart.policy.cascade.EscalationPolicy;
import org.baobabcart.policy.cascade.FirstByteEstimator;
import org.baobabcart.policy.cascade.LatencyPressure;

/** A rule by which the small model's answer is dropped for one of the largest. Not thread-safe: rules learn. */
public interface EscalationRule {
    /** Whether the largest model is asked now. */
    boolean pays(ReplayedRequest request, double nowMillis);

    /** An answer of the largest model has begun. */
    void began(ReplayedRequest request, double tookMillis, double nowMillis);

    /** The product's rule. */
    static EscalationRule present() {
        return new Present();
    }

    /** The rule before it: fixed worths of a token and an answer, and the route's pressure whatever the length. */
    static EscalationRule former() {
        return new Former();
    }

    /** No answer is dropped. */
    static EscalationRule never() {
        return new EscalationRule() {
            @Override
            public boolean pays(ReplayedRequest request, double nowMillis) {
                return false;
            }

            @Override
            public void began(ReplayedRequest request, double tookMillis, double nowMillis) {}
        };
    }

    /** The product's policy as the gateway uses it. */
    final class Present implements EscalationRule {
        private static final String MODEL = "large";
        private static final double NANOS = 1e6;

        private final EscalationPolicy escalation = EscalationPolicy.defaults();
        private final FirstByteEstimator estimator = FirstByteEstimator.create();

        private Present() {}

        @Override
        public boolean pays(ReplayedRequest request, double nowMillis) {
            long now = (long) (nowMillis * NANOS);
            double expected =
                    estimator.expectedNanos(MODEL, request.kind().name(), request.promptTokens(), now) / NANOS;
            double pressure = (nowMillis - request.arrivalMillis() + expected)
                    / request.kind().targetMillis();
            double crowding = estimator.crowding(MODEL, request.promptTokens(), now);
            return escalation.isWorthwhile(request.confidence(), request.kind().rank(), pressure, crowding);
        }

        @Override
        public void began(ReplayedRequest request, double tookMillis, double nowMillis) {
            boolean late = nowMillis - request.arrivalMillis() > request.kind().targetMillis();
            estimator.observe(MODEL, request.kind().name(), request.promptTokens(), tookMillis * NANOS, late, (long)
                    (nowMillis * NANOS));
        }
    }

    /** What the product did before. */
    final class Former implements EscalationRule {
        private static final double NANOS = 1e6;
        private static final double LEAST_WORTH = 0.5;
        private static final double WORTH_OF_TOKEN = 0.008;
        private static final double MOST_WORTH = 2.5;
        private static final double PRICE_OF_TOKEN = 0.0003;
        private static final double PROMPT_PART = 0.25;
        private static final double FIRST_LATE = 0.5;
        private static final double ALL_LATE = 1.25;
        private static final double LATE_WORTH = 0.3;

        private final LatencyPressure pressure = LatencyPressure.create();

        private Former() {}

        @Override
        public boolean pays(ReplayedRequest request, double nowMillis) {
            double ratio = pressure.of(request.kind().name(), (long) (nowMillis * NANOS));
            double lateShare = Math.max(0, Math.min(1, (ratio - FIRST_LATE) / (ALL_LATE - FIRST_LATE)));
            double doubt = Math.max(0, 1 - lateShare * (1 - LATE_WORTH) - request.confidence() / 100.0);
            int output = request.kind().output();
            double price = PRICE_OF_TOKEN * (output + request.promptTokens() * PROMPT_PART);
            return doubt * Math.min(MOST_WORTH, LEAST_WORTH + WORTH_OF_TOKEN * output) > price;
        }

        @Override
        public void began(ReplayedRequest request, double tookMillis, double nowMillis) {
            pressure.observe(
                    request.kind().name(), tookMillis / request.kind().targetMillis(), (long) (nowMillis * NANOS));
        }
    }
}
