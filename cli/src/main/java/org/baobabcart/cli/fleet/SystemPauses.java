package org.baobabcart.cli.fleet;

import java.time.Duration;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Pauses by the system's clock. */
final class SystemPauses implements Pauses {
    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public void pause(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw BaobabcartException.of(ResultCode.COMMAND_TIMEOUT, "interrupted")
                    .withCause(exception);
        }
    }
}
