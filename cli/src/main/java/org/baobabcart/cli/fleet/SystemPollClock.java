package org.baobabcart.cli.fleet;

import java.time.Duration;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Implements {@link PollClock} with the system clock. */
final class SystemPollClock implements PollClock {
    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public void sleep(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw BaobabcartException.of(ResultCode.COMMAND_TIMEOUT, "interrupted while waiting")
                    .withCause(exception);
        }
    }
}
