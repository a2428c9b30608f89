package org.baobabcart.model.sheet;

import java.util.List;

/**
 * An ordered list of models, the cheapest first, tried until an answer is good enough. Immutable.
 *
 * @param name the name that callers use in place of a model
 * @param qualityTarget the rating, from 0 to 1, below which the next step is tried
 * @param steps names of models or {@code model@version}, the cheapest first
 */
public record Cascade(String name, double qualityTarget, List<String> steps) {
    /** Copies the list of steps. */
    public Cascade {
        steps = Lists.copyOrEmpty(steps);
    }
}
