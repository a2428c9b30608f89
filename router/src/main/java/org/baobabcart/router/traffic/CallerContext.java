package org.baobabcart.router.traffic;

import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Rank;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Workspace;
import org.baobabcart.router.view.TrafficView;

/**
 * The caller's identity, rank and deadline, read from the request headers. Immutable.
 *
 * @param sheet the sheet in force when the request arrived
 * @param workspace the caller's workspace
 * @param rank the rank
 * @param rankIndex the index of the rank; zero is the most urgent
 * @param arrivalNanos when the request arrived
 * @param deadlineNanos when the response must be complete
 * @param session the value of the session header
 * @param idempotencyKey the idempotency key
 */
record CallerContext(
        Sheet sheet,
        Workspace workspace,
        Rank rank,
        int rankIndex,
        long arrivalNanos,
        long deadlineNanos,
        Optional<String> session,
        Optional<String> idempotencyKey) {
    private static final int FIRST_BYTE_FACTOR = 2;
    private static final Duration MIN_FIRST_BYTE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_TEXT_LENGTH = 1024;

    /** Reads and validates the headers. */
    static CallerContext read(TrafficView view, TrafficSettings settings, HttpServerRequest request, long nowNanos) {
        Sheet sheet = view.sheet()
                .orElseThrow(() -> BaobabcartException.of(ResultCode.NOT_READY))
                .sheet();
        single(request, "Host");
        Workspace workspace = Authenticator.authenticate(
                sheet, single(request, "Authorization").orElse(null));
        String rankName = single(request, Headers.RANK).orElse(sheet.defaultRank());
        Rank rank = sheet.rank(rankName).orElseThrow(() -> BaobabcartException.of(ResultCode.UNKNOWN_RANK));
        Duration timeout =
                timeout(settings, single(request, Headers.TIMEOUT_MILLIS).orElse(null));
        return new CallerContext(
                sheet,
                workspace,
                rank,
                sheet.ranks().indexOf(rank),
                nowNanos,
                nowNanos + timeout.toNanos(),
                text(request, Headers.SESSION),
                text(request, Headers.IDEMPOTENCY_KEY));
    }

    /** Returns the time by which the first attempt should start according to the rank. */
    long targetNanos() {
        return arrivalNanos + TimeUnit.MILLISECONDS.toNanos(rank.targetMillis());
    }

    /**
     * Returns the timeout for the first byte: a multiple of the rank's target, at least two seconds and at most the
     * given timeout.
     */
    Duration firstByteTimeout(Duration maximum) {
        Duration byRank = Duration.ofMillis(rank.targetMillis()).multipliedBy(FIRST_BYTE_FACTOR);
        Duration atLeast = byRank.compareTo(MIN_FIRST_BYTE_TIMEOUT) < 0 ? MIN_FIRST_BYTE_TIMEOUT : byRank;
        return atLeast.compareTo(maximum) > 0 ? maximum : atLeast;
    }

    private static Duration timeout(TrafficSettings settings, String header) {
        if (header == null) {
            return settings.timeouts().total();
        }
        try {
            Duration requested = Duration.ofMillis(Long.parseLong(header.trim()));
            Duration maximum = settings.timeouts().maxTotal();
            if (requested.isNegative() || requested.isZero()) {
                throw badHeader(Headers.TIMEOUT_MILLIS, "must be greater than 0");
            }
            return requested.compareTo(maximum) > 0 ? maximum : requested;
        } catch (NumberFormatException exception) {
            throw badHeader(Headers.TIMEOUT_MILLIS, "must be a whole number of milliseconds");
        }
    }

    private static Optional<String> text(HttpServerRequest request, String name) {
        Optional<String> text = single(request, name);
        text.ifPresent(value -> {
            if (value.isBlank() || value.length() > MAX_TEXT_LENGTH) {
                throw badHeader(name, "must have 1 to " + MAX_TEXT_LENGTH + " characters");
            }
        });
        return text;
    }

    /** Returns the value of a header; a head that has it twice may be joined from two requests. */
    private static Optional<String> single(HttpServerRequest request, String name) {
        List<String> values = request.headers().getAll(name);
        if (values.size() > 1) {
            throw badHeader(name, "occurs more than once");
        }
        return values.stream().findFirst();
    }

    private static BaobabcartException badHeader(String name, String detail) {
        return BaobabcartException.of(ResultCode.BAD_HEADER, name + " " + detail);
    }
}
