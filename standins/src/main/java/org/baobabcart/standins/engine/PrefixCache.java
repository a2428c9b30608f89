package org.baobabcart.standins.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Cache of prompt blocks that evicts the least recently used block. A block is identified by its text and all text
 * before it, as in the block hashes of paged attention (Kwon et al., SOSP 2023). Not thread-safe.
 */
final class PrefixCache {
    /** The length of a block in characters. */
    static final int BLOCK_CHARACTERS = 32;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Long, Boolean> blocks;

    private PrefixCache(int capacity) {
        blocks = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > capacity;
            }
        };
    }

    /** Creates an empty cache for a number of blocks. */
    static PrefixCache of(int capacity) {
        return new PrefixCache(capacity);
    }

    /** Looks up a prompt and stores its blocks. Returns the number of leading characters that were already cached. */
    int lookUpAndStore(String prompt) {
        int cachedCharacters = 0;
        boolean contiguous = true;
        long hash = 1;
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            hash = hash * 1_000_003
                    + prompt.substring(end - BLOCK_CHARACTERS, end).hashCode();
            contiguous = contiguous && blocks.containsKey(hash);
            cachedCharacters = contiguous ? end : cachedCharacters;
            blocks.put(hash, Boolean.TRUE);
        }
        return cachedCharacters;
    }

    /** Returns the number of cached blocks. */
    int size() {
        return blocks.size();
    }
}
