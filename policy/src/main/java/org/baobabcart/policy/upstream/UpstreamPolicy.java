package org.baobabcart.policy.upstream;

import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * Chooses an upstream for a request. Immutable and thread-safe.
 *
 * <p>Upstreams in the router's own data centre are preferred. Within a data centre, requests with a common prefix go
 * to the first upstream in the rendezvous order of the prefix whose load does not exceed a bound (Mirrokni, Thorup and
 * Zadimoghaddam, "Consistent hashing with bounded loads", 2018); other requests go to the less loaded of two random
 * upstreams (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
 */
public final class UpstreamPolicy {
    private static final double AFFINITY_LOAD_BOUND = 1.25;

    private final String router;
    private final int subsetSize;

    private UpstreamPolicy(String router, int subsetSize) {
        this.router = router;
        this.subsetSize = subsetSize;
    }

    /**
     * Returns a policy for one router.
     *
     * @param subsetSize the maximum number of upstreams of a pool and data centre that the router sends to
     */
    public static UpstreamPolicy of(String router, int subsetSize) {
        return new UpstreamPolicy(router, subsetSize);
    }

    /** Returns the upstreams that this router sends to; if one of them is lost, only one other replaces it. */
    public List<String> subset(List<String> upstreams) {
        if (upstreams.size() <= subsetSize) {
            return List.copyOf(upstreams);
        }
        return RendezvousHash.top(router, upstreams, subsetSize);
    }

    /**
     * Returns the upstream for a request, or empty if none has capacity.
     *
     * @param affinity a key shared by requests with a common prefix, or empty
     * @param uniform a source of random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public Optional<UpstreamCandidate> choose(
            List<UpstreamCandidate> candidates, String affinity, DoubleSupplier uniform) {
        List<UpstreamCandidate> local =
                candidates.stream().filter(UpstreamCandidate::local).toList();
        Optional<UpstreamCandidate> chosen = chooseAmong(local, affinity, uniform);
        if (chosen.isPresent()) {
            return chosen;
        }
        List<UpstreamCandidate> remote =
                candidates.stream().filter(candidate -> !candidate.local()).toList();
        return chooseAmong(remote, affinity, uniform);
    }

    private static Optional<UpstreamCandidate> chooseAmong(
            List<UpstreamCandidate> candidates, String affinity, DoubleSupplier uniform) {
        List<UpstreamCandidate> free =
                candidates.stream().filter(UpstreamCandidate::hasCapacity).toList();
        if (free.isEmpty()) {
            return Optional.empty();
        }
        if (affinity.isEmpty()) {
            return Optional.of(lessLoaded(free, uniform));
        }
        double total = candidates.stream().mapToDouble(UpstreamCandidate::load).sum() + 1;
        double bound = Math.ceil(AFFINITY_LOAD_BOUND * total / candidates.size());
        List<UpstreamCandidate> belowBound =
                free.stream().filter(candidate -> candidate.load() + 1 <= bound).toList();
        return RendezvousHash.first(affinity, belowBound, UpstreamCandidate::name)
                .or(() -> Optional.of(lessLoaded(free, uniform)));
    }

    private static UpstreamCandidate lessLoaded(List<UpstreamCandidate> free, DoubleSupplier uniform) {
        int firstIndex = index(free.size(), uniform);
        if (free.size() == 1) {
            return free.get(firstIndex);
        }
        int secondIndex = (firstIndex + 1 + index(free.size() - 1, uniform)) % free.size();
        UpstreamCandidate first = free.get(firstIndex);
        UpstreamCandidate second = free.get(secondIndex);
        return first.utilization() <= second.utilization() ? first : second;
    }

    private static int index(int size, DoubleSupplier uniform) {
        return Math.min(size - 1, (int) (uniform.getAsDouble() * size));
    }
}
