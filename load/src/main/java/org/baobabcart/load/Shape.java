package org.baobabcart.load;

import java.util.SplittableRandom;
import java.util.stream.LongStream;

/** Distribution of arrivals over time. */
public enum Shape {
    /** Poisson process with a constant rate. */
    STEADY {
        @Override
        long[] arrivals(double ratePerSecond, double seconds, SplittableRandom random) {
            return poisson(ratePerSecond, 1, 1, 1, seconds, random);
        }
    },
    /** All requests of the load arrive within the first second. */
    WAKE_STORM {
        @Override
        long[] arrivals(double ratePerSecond, double seconds, SplittableRandom random) {
            int count = (int) Math.round(ratePerSecond * seconds);
            return random.longs(count, 0, (long) NANOS_PER_SECOND).sorted().toArray();
        }
    },
    /** Poisson process whose rate is four times as high in the middle third. */
    FLOOD {
        @Override
        long[] arrivals(double ratePerSecond, double seconds, SplittableRandom random) {
            return poisson(ratePerSecond, 1, FLOOD_FACTOR, 1, seconds, random);
        }
    };

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double FLOOD_FACTOR = 4;
    private static final double THIRD = 1.0 / 3;

    /** Returns the planned starts in ascending order, in nanoseconds since the start of the load. */
    abstract long[] arrivals(double ratePerSecond, double seconds, SplittableRandom random);

    private static long[] poisson(
            double rate, double first, double middle, double last, double seconds, SplittableRandom random) {
        LongStream.Builder starts = LongStream.builder();
        double time = 0;
        while (true) {
            double part = time / seconds;
            double factor = part < THIRD ? first : part < 2 * THIRD ? middle : last;
            time += -Math.log(1 - random.nextDouble()) / (rate * factor);
            if (time >= seconds) {
                return starts.build().toArray();
            }
            starts.add((long) (time * NANOS_PER_SECOND));
        }
    }
}
