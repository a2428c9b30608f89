package org.baobabcart.standins.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Blocks of prompts seen lately, the least recently used one being dropped first. A block is known by its text and all
 * text before it, as in the block hashes of paged attention (Kwon et al., SOSP 2023). Not thread-safe.
 */
final class PrefixCache {
    /** Length of a block in characters. */
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

    /** An empty cache for this many blocks. */
    static PrefixCache of(int capacity) {
        return new PrefixCache(capacity);
    }

    /** Looks up a prompt and keeps its blocks; the result is the number of its leading characters that were known. */
    int lookUpAndKeep(String prompt) {
        int known = 0;
        boolean unbroken = true;
        long hash = 1;
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            hash = hash * 1_000_003
                    + prompt.substring(end - BLOCK_CHARACTERS, end).hashCode();
            unbroken = unbroken && blocks.containsKey(hash);
            known = unbroken ? end : known;
            blocks.put(hash, Boolean.TRUE);
        }
        return known;
    }

    /** The number of blocks kept. */
    int size() {
        return blocks.size();
    }
}
